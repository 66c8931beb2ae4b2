// Package share describes what a host may use of the limit of a client account.
package share

// Share is one host's current part of the rate and burst of one account.
type Share struct {
	// Account is the client account.
	Account string
	// Floor is the permanent part in 0..1; zero while it may not be used.
	Floor float64
	// Leased is the leased part in 0..1; zero while it may not be used.
	Leased float64
	// Rate is the total of both parts, in requests per second.
	Rate float64
	// Lent is the number of tokens that this host has lent to other hosts.
	Lent uint64 `json:",omitzero"`
}
