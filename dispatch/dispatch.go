// Package dispatch runs an admitted request on a backend server of the host's
// own failure domain and passes the whole answer on.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/upstream"
)

// wholeBytes is how much of an answer is held back until it is complete. A
// longer answer that breaks off ends by breaking the caller's connection.
const wholeBytes = 64 << 10

// Dispatch serves requests of the host's own callers and forwarded ones alike.
type Dispatch struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Queue returns the line of a service, nil if the service is not known.
	Queue func(service string) *queue.Queue
	// Valid reports whether a key still works.
	Valid func(c credential.Credential) bool
	// Confirm reports whether the request's token may still be used.
	Confirm func(r *request.Request) bool
	// Idempotency records non-idempotent requests.
	Idempotency *idempotency.Idempotency
	// Upstream sends to backend servers.
	Upstream *upstream.Upstream
	// Timeout is the longest wait for a slot.
	Timeout func() time.Duration
}

// Serve runs r and writes the answer to w. The outcome is Answered, or says
// why nothing was written to w.
func (d *Dispatch) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	q := d.Queue(r.Service.Name)
	if q == nil {
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
	}
	t := min(d.Timeout(), r.Deadline.Sub(d.Clock.Now()))
	s, o := q.Wait(ctx, r.Credential.Account, t)
	if o.Outcome != "" {
		return o
	}
	// The key may have been withdrawn while the request waited.
	if !d.Valid(r.Credential) {
		s.Release(result.Unused)
		return outcome.Outcome{Outcome: outcome.KeyUnknown, Ran: outcome.RanNo, Message: "the key was withdrawn"}
	}
	// The process may have been paused since the request was admitted.
	if !d.Confirm(r) {
		s.Release(result.Unused)
		return outcome.Outcome{Outcome: outcome.OverRate, Ran: outcome.RanNo, Message: "the token is too old", RetryAfter: time.Second}
	}
	if r.NonIdempotent && r.IdempotencyID != "" {
		return d.once(ctx, r, s, w)
	}
	p, o := d.send(ctx, r, s)
	if o.Outcome != "" {
		return o
	}
	return d.copy(p, s, w)
}

// once runs a request that carries an id.
func (d *Dispatch) once(ctx context.Context, r *request.Request, s slot.Slot, w http.ResponseWriter) outcome.Outcome {
	a := r.Credential.Account
	c, o := d.Idempotency.Begin(ctx, a, r.IdempotencyID, r.ID, r.Method+" "+r.Target)
	if o.Outcome == outcome.Answered {
		s.Release(result.Unused)
		write(w, c.Status, c.Header, c.Body)
		return o
	}
	if o.Outcome != "" {
		s.Release(result.Unused)
		return o
	}
	p, o := d.send(ctx, r, s)
	if o.Outcome != "" {
		if o.Ran == outcome.RanNo {
			_ = d.Idempotency.Abandon(context.WithoutCancel(ctx), a, r.IdempotencyID)
		}
		return o
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		s.Release(result.Failed)
		return outcome.Outcome{Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Message: err.Error()}
	}
	s.Release(result.Succeeded)
	c.Done = true
	c.Status = p.StatusCode
	c.Header = p.Header
	c.Body = b
	_ = d.Idempotency.Finish(context.WithoutCancel(ctx), a, r.IdempotencyID, c)
	write(w, c.Status, c.Header, c.Body)
	return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
}

// send releases the slot itself when it returns an outcome.
func (d *Dispatch) send(ctx context.Context, r *request.Request, s slot.Slot) (*http.Response, outcome.Outcome) {
	p, ran, err := d.Upstream.Send(ctx, r, s.Backend)
	if err == nil {
		return p, outcome.Outcome{}
	}
	if ctx.Err() != nil {
		s.Release(result.Canceled)
		return nil, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown}
	}
	s.Release(result.Failed)
	if !ran {
		return nil, outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the backend server refused the connection"}
	}
	if r.NonIdempotent {
		return nil, outcome.Outcome{Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Message: err.Error()}
	}
	return nil, outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
}

func (d *Dispatch) copy(p *http.Response, s slot.Slot, w http.ResponseWriter) outcome.Outcome {
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, wholeBytes))
	if err != nil {
		s.Release(result.Failed)
		return outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
	}
	if len(b) < wholeBytes {
		s.Release(result.Succeeded)
		write(w, p.StatusCode, p.Header, b)
		return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	}
	head(w, p.StatusCode, p.Header, p.ContentLength)
	_, err = w.Write(b)
	if err == nil {
		_, err = io.Copy(w, p.Body)
	}
	if err != nil {
		s.Release(result.Canceled)
		// The status is out, so only a broken connection tells the caller
		// that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	s.Release(result.Succeeded)
	return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
}

func write(w http.ResponseWriter, status int, h http.Header, b []byte) {
	head(w, status, h, int64(len(b)))
	// A failed write means that the caller left; there is nobody to tell.
	_, _ = w.Write(b)
}

func head(w http.ResponseWriter, status int, h http.Header, n int64) {
	for k, v := range h {
		if k == "Connection" || k == "Content-Length" || k == "Transfer-Encoding" {
			continue
		}
		w.Header()[k] = v
	}
	if n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(status)
}
