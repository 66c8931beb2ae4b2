// Package share describes what a host may use of a client account's limit.
package share

// Share is one host's part of one account's rate and burst, now.
type Share struct {
	// Account is the client account.
	Account string
	// Floor is the permanent part in 0..1; zero while it may not be used.
	Floor float64
	// Leased is the leased part in 0..1; zero while it may not be used.
	Leased float64
	// Rate is what both come to, in requests per second.
	Rate float64
	// Lent are the tokens that other hosts have on loan from this one.
	Lent uint64 `json:",omitzero"`
}
