package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

// race is the state of an idempotent request: its tries in flight and the
// timer of the second one.
type race struct {
	dispatch *Dispatch
	request  *request.Request
	results  chan try
	sent     chan struct{}
	cancels  []context.CancelFunc
	running  int
	// unsure tells that a try which ended without an answer may have run.
	unsure bool
}

// race runs an idempotent request. A connection that has gone silent looks like
// a slow backend server; a second try on a fresh connection answers in both
// cases, and the first answer wins.
func (d *Dispatch) race(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	a := &race{dispatch: d, request: r, results: make(chan try, maxTries), sent: make(chan struct{}, maxTries)}
	defer a.end()
	a.start(ctx, false)
	o := d.finish(ctx, r, a.run(ctx), w)
	// An answer that broke off while it was held back can be asked for again.
	for o.Outcome == outcome.BackendFailed && a.more() && d.again(o, r) {
		a.unsure = true
		a.start(ctx, true)
		o = d.finish(ctx, r, a.run(ctx), w)
	}
	return o
}

// run returns the first try that has an answer, or the last outcome.
func (a *race) run(ctx context.Context) try {
	var late clockwork.Timer
	var c <-chan time.Time
	for {
		select {
		case <-a.sent:
			if late == nil {
				late = a.dispatch.Clock.NewTimer(a.dispatch.Hedge.Delay(a.request.Service.Name))
				defer late.Stop()
				c = late.Chan()
			}
		case <-c:
			c = nil
			if a.more() && rewind(a.request) && a.dispatch.Budget.Second(a.request.Service.Name) {
				a.start(ctx, true)
			}
		case t := <-a.results:
			a.running--
			if t.outcome.Outcome == "" {
				a.winner(t)
				return t
			}
			a.cancels[t.index]()
			a.unsure = a.unsure || t.outcome.Ran != outcome.RanNo
			if a.running > 0 {
				continue
			}
			if !a.more() || !a.dispatch.again(t.outcome, a.request) {
				t.outcome = a.honest(t.outcome)
				return t
			}
			a.start(ctx, true)
		}
	}
}

// honest makes the outcome of the last try that of the whole request: a try before
// it may have run, and then nobody may be told that the request did not.
func (a *race) honest(o outcome.Outcome) outcome.Outcome {
	if !a.unsure || o.Ran != outcome.RanNo {
		return o
	}
	return outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: "a try may have run; then: " + o.Message}
}

func (a *race) more() bool {
	return len(a.cancels) < tries(a.request)
}

func (a *race) start(ctx context.Context, fresh bool) {
	x, f := context.WithCancel(ctx)
	n := len(a.cancels)
	a.cancels = append(a.cancels, f)
	a.running++
	go func(r request.Request) {
		t := a.dispatch.try(x, &r, fresh, func() { a.sent <- struct{}{} })
		t.index = n
		a.results <- t
	}(*a.request)
}

// winner cancels the other tries: the backend servers stop working on them
// while the answer is passed on.
func (a *race) winner(t try) {
	for i, f := range a.cancels {
		if i != t.index {
			f()
		}
	}
}

// end waits for the tries that lost and gives back what they hold.
func (a *race) end() {
	for _, f := range a.cancels {
		f()
	}
	for ; a.running > 0; a.running-- {
		t := <-a.results
		if t.answer != nil {
			t.answer.Body.Close()
			a.dispatch.linger(t.slot, true)
		}
	}
}
