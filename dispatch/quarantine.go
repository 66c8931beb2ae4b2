package dispatch

import (
	"sync"
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// checkQuarantine returns the outcome of a request that may not be sent since backend servers
// ended under it.
func (d *Dispatch) checkQuarantine(r *request.Request) outcome.Outcome {
	if d.Quarantine == nil {
		return outcome.Outcome{}
	}
	return quarantineOutcome(d.Quarantine.Allows(r.Fingerprint))
}

// startAttempt returns s such that its release tells Quarantine how the attempt ended. If the
// attempt may not start, s was released.
func (d *Dispatch) startAttempt(r *request.Request, s slot.Slot) (slot.Slot, outcome.Outcome) {
	if d.Quarantine == nil {
		return s, outcome.Outcome{}
	}
	if o := quarantineOutcome(d.Quarantine.Start(r.Fingerprint)); o.Outcome != "" {
		s.Release(result.Unused)
		return s, o
	}
	t := d.Clock.Now()
	b, f := s.Backend, s.Release
	var o sync.Once
	s.Release = func(v result.Result) {
		o.Do(func() {
			d.Quarantine.End(r, b, t, v)
			f(v)
		})
	}
	return s, outcome.Outcome{}
}

// recordForwarded tells Quarantine of an attempt that broke off at another host. That is known here
// before the other host's news arrives. The request had been received so many times when it was
// forwarded.
func (d *Dispatch) recordForwarded(r *request.Request, o outcome.Outcome, received int, startedAt time.Time) {
	l := r.AttemptedBackends.Received()
	if d.Quarantine == nil || len(l) <= received || o.Outcome != outcome.BackendFailed && o.Outcome != outcome.OutcomeUnknown {
		return
	}
	d.Quarantine.EndElsewhere(r, l[len(l)-1], startedAt)
}

// quarantineOutcome returns the outcome of a request that may not be sent. What was run by
// earlier attempts or under another id is not known here, so the final one does not say that
// the request has not run.
func quarantineOutcome(ok, final bool, again time.Duration) outcome.Outcome {
	switch {
	case ok:
		return outcome.Outcome{}
	case final:
		return outcome.Outcome{Outcome: outcome.Quarantined, Ran: outcome.RanUnknown, Message: "backend servers ended when they ran this request before"}
	}
	return outcome.Outcome{
		Outcome: outcome.NoCapacity, Ran: outcome.RanNo, RetryAfter: again,
		Message: "backend servers may have ended when they ran this request before",
	}
}
