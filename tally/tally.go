// Package tally describes counts of how requests ended.
package tally

// Tally counts the requests of one client account and service in one minute on
// one host. Each request is in exactly one count, but Timely, which is a part
// of Answered.
type Tally struct {
	// Minute is the minute, in minutes since 1970.
	Minute int64
	// Account is the client account.
	Account string
	// Service is the service.
	Service string
	// Answered are whole answers.
	Answered uint64
	// Timely are whole answers within the objective's latency.
	Timely uint64
	// Left are callers that went away.
	Left uint64
	// Failed are callers that waited and got no whole answer, whether or not a
	// backend server ran the request.
	Failed uint64
	// Inside are refusals "not run" of requests that were inside the
	// account's rate: no slot came free, the store was down, the host left.
	Inside uint64
	// OverRate are refusals for the account's rate; package replay tells which
	// of them were wrongful.
	OverRate uint64
	// Mistaken are mistakes of the caller: no such path, a malformed request.
	Mistaken uint64
}

// Add adds the counts of another tally.
func (t *Tally) Add(o Tally) {
	t.Answered += o.Answered
	t.Timely += o.Timely
	t.Left += o.Left
	t.Failed += o.Failed
	t.Inside += o.Inside
	t.OverRate += o.OverRate
	t.Mistaken += o.Mistaken
}
