// Package result defines the results of requests that held a slot.
package result

// Result is the result of a request, for the balancer.
type Result int

// Values of Result.
const (
	// Succeeded is a complete answer.
	Succeeded Result = iota
	// Shed is a refusal by the backend server, which did not run the request.
	Shed
	// Failed is an error or a broken answer.
	Failed
	// Canceled is a caller that left; it is no information about the backend
	// server.
	Canceled
	// Refused is a connection that could not be opened.
	Refused
	// Unused is a slot on which no request was sent.
	Unused
)

// String returns the result's name, for logs.
func (r Result) String() string {
	return [...]string{"Succeeded", "Shed", "Failed", "Canceled", "Refused", "Unused"}[r]
}
