// Package secondcount describes how the requests of an account were admitted or
// refused by its rate in one second.
package secondcount

// Secondcount counts the requests of one client account in one second on one host.
type Secondcount struct {
	// Second is the time in seconds since 1970, by the wall clock of the host.
	Second int64
	// Account is the client account.
	Account string
	// Admitted is the number of requests that used a token.
	Admitted uint64
	// Refused is the number of requests that were refused because of the rate of
	// the account.
	Refused uint64
}
