// Package account describes the client accounts that operators create.
package account

// Account is one client account and its limits, which count over all hosts
// together.
type Account struct {
	// Name identifies the client account in the configuration.
	Name string
	// Rate is the sustained limit in requests per second.
	Rate float64
	// Burst is the number of requests that may arrive at once above Rate.
	Burst float64
	// Weight is the account's part of a contended queue; zero means one.
	Weight float64
	// Priority, if Ranked, goes before the priority of the route.
	Priority int `json:",omitzero"`
	// Ranked tells that the account has a priority of its own.
	Ranked bool `json:",omitzero"`
	// Homes are the regions that may serve the account; empty means all.
	Homes []string `json:",omitzero"`
}
