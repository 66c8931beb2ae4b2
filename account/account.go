// Package account describes the client accounts that operators create.
package account

// Account is one client account and its limits, which apply to all hosts
// together.
type Account struct {
	// Name identifies the client account in the configuration.
	Name string
	// Rate is the sustained limit in requests per second.
	Rate float64
	// Burst is the number of requests that may arrive at once above Rate.
	Burst float64
	// Weight is the relative weight of the account in a contended queue. Zero
	// means one.
	Weight float64
	// Priority replaces the priority of the route if Ranked is set.
	Priority int `json:",omitzero"`
	// Ranked reports whether the account has its own priority.
	Ranked bool `json:",omitzero"`
	// Homes are the regions that may serve the account. Empty means all.
	Homes []string `json:",omitzero"`
}
