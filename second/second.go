// Package second describes how an account's requests met its rate.
package second

// Second counts the requests of one client account in one second on one host.
type Second struct {
	// Second is the time, in seconds since 1970 by the host's wall clock.
	Second int64
	// Account is the client account.
	Account string
	// Admitted are the requests that spent a token.
	Admitted uint64
	// Refused are the refusals for the account's rate.
	Refused uint64
}
