// Package requestcounts describes counts of how requests ended.
package requestcounts

// Requestcounts counts the requests of one client account and service in one minute on
// one host. Each request is counted in exactly one field, except that Timely is a
// subset of Answered.
type Requestcounts struct {
	// Minute is the time in minutes since the Unix epoch.
	Minute int64
	// Account is the name of the client account.
	Account string
	// Service is the name of the service.
	Service string
	// Answered counts complete answers.
	Answered uint64
	// Timely counts complete answers within the latency objective.
	Timely uint64
	// Left counts callers that disconnected.
	Left uint64
	// Failed counts callers that waited and received no complete answer, although
	// a backend server ran the request or may have run it.
	Failed uint64
	// Inside counts refusals of requests that were within the account's rate and
	// were not run, because no slot became free, the store was unavailable or the
	// host was shutting down.
	Inside uint64
	// OverRate counts refusals due to the account's rate. Package refusalaudit
	// determines which of them were wrongful.
	OverRate uint64
	// Mistaken counts errors of the caller, such as an unknown path or a malformed
	// request.
	Mistaken uint64
}

// Add adds the counts of o to t.
func (t *Requestcounts) Add(o Requestcounts) {
	t.Answered += o.Answered
	t.Timely += o.Timely
	t.Left += o.Left
	t.Failed += o.Failed
	t.Inside += o.Inside
	t.OverRate += o.OverRate
	t.Mistaken += o.Mistaken
}
