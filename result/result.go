// Package result names what became of a request that held a slot.
package result

// Result tells the balancer what became of the request.
type Result int

// Values of Result.
const (
	// Succeeded is a whole answer.
	Succeeded Result = iota
	// Shed is the backend server's own refusal: it did not run the request.
	Shed
	// Failed is an error or a broken answer.
	Failed
	// Canceled is a caller that left; it says nothing of the backend server.
	Canceled
	// Refused is a connection that could not be opened.
	Refused
	// Unused is a slot that no request was sent on.
	Unused
)

// String returns the result's name, for logs.
func (r Result) String() string {
	return [...]string{"Succeeded", "Shed", "Failed", "Canceled", "Refused", "Unused"}[r]
}
