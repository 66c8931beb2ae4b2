package dispatch

import (
	"context"
	"io"
	"net/http"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsepipe"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// forward sends r through another host, which may use the attempts that are left.
func (d *Dispatch) forward(ctx context.Context, r *request.Request, s slot.Slot, left int) attempt {
	x, f := context.WithCancel(ctx)
	q := *r
	q.Attempts = left
	p := responsepipe.New(r.Method)
	n, b := len(r.AttemptedBackends.Received()), d.Clock.Now()
	done := make(chan forwardEnd, 1)
	go d.serveForward(x, &q, p, done)
	var o forwardEnd
	select {
	case a := <-p.Response(): //nolint:bodyclose // copyAnswer or close closes it
		return d.forwarded(a, s, left, f, done)
	case o = <-done:
	}
	select {
	case a := <-p.Response(): //nolint:bodyclose // as above; it was written before the end
		done <- o
		return d.forwarded(a, s, left, f, done)
	default:
	}
	f()
	d.recordForwarded(r, o.outcome, n, b)
	t := attempt{outcome: o.outcome, sent: o.used}
	if t.outcome.Ran == outcome.RanNo && !r.SendGate.Unsend() {
		t.outcome = refuse(outcome.Left, "the caller left")
	}
	s.Release(result.Unused)
	return t
}

// forwardEnd is how a forwarded request ended.
type forwardEnd struct {
	outcome outcome.Outcome
	used    int // attempts
}

// serveForward calls Forward and reports its outcome. A response that is not complete ends
// with an error.
func (d *Dispatch) serveForward(ctx context.Context, r *request.Request, p *responsepipe.Responsepipe, done chan<- forwardEnd) {
	o := forwardEnd{outcome: outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanYes}, used: r.Attempts}
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error chain
			panic(v)
		}
		err := io.ErrUnexpectedEOF
		if o.outcome.Outcome == outcome.Answered {
			err = nil
		}
		p.Close(err)
		done <- o
	}()
	o.outcome, o.used = d.Forward(ctx, r, p)
}

// forwarded returns the attempt of a request that another host sent.
func (d *Dispatch) forwarded(p *http.Response, s slot.Slot, left int, cancel context.CancelFunc, done <-chan forwardEnd) attempt {
	p.Body = &forwardedBody{ReadCloser: p.Body, cancel: cancel, done: done}
	s.OnResponse = func(int, http.Header) {}
	return attempt{answer: p, slot: s, sent: left}
}

// forwardedBody is the body of a forwarded request's response.
type forwardedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	done   <-chan forwardEnd
}

// Close ends the request at the other host unless it has ended, and waits for that.
func (b *forwardedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	if b.done != nil {
		<-b.done
		b.done = nil
	}
	return err
}
