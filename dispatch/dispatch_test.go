package dispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/upstream"
)

// dialMute returns a connection to a backend server that reads requests and never answers.
func dialMute(context.Context, string) (net.Conn, error) {
	c, s := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, s) }() // ends when the other side is closed
	return c, nil
}

// newDispatch returns a Dispatch with a mute backend server that has one slot. Requests
// wait for a second slot until their context ends; waiting is called when they begin to.
func newDispatch(c clockwork.Clock, waiting func()) *dispatch.Dispatch {
	u := upstream.New(c, time.Second)
	u.Dial = dialMute
	var taken bool
	return &dispatch.Dispatch{
		Clock: c, Upstream: u, Hedge: &hedge.Hedge{Initial: time.Second, Min: time.Second, Max: time.Second},
		IsKeyValid:   func(credential.Credential) bool { return true },
		ConfirmToken: func(*request.Request) bool { return true },
		Budget:       &retrybudget.Retrybudget{Ratio: func() float64 { return 1 }},
		AcquireSlot: func(ctx context.Context, _ *request.Request) (slot.Slot, outcome.Outcome) {
			if taken {
				waiting()
				<-ctx.Done()
				c.Sleep(time.Second) // the first attempt ends before this one
				return slot.Slot{}, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo}
			}
			taken = true
			return slot.Slot{Backend: backend.Backend{Name: "b", Address: "b:80"}, Release: func(result.Result) {}}, outcome.Outcome{}
		},
	}
}

// TestContextEndsBeforeSecondAttempt guards against reporting a caller that left, or a
// deadline, as a failure of the backend server, when the second attempt was not sent.
func TestContextEndsBeforeSecondAttempt(t *testing.T) {
	for _, v := range []struct {
		leaves bool
		want   string
	}{
		{leaves: true, want: outcome.Left},
		{leaves: false, want: outcome.DeadlineExceeded},
	} {
		t.Run(v.want, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := clockwork.NewRealClock()
				x, f := context.WithCancel(t.Context())
				d := newDispatch(c, func() {
					if v.leaves {
						f()
					}
				})
				r := &request.Request{ID: "1", Method: http.MethodGet, Target: "/", Header: make(http.Header), Deadline: c.Now().Add(time.Minute)}
				o := d.Serve(x, r, httptest.NewRecorder())
				must.Eq(t, v.want, o.Outcome)
				must.Eq(t, outcome.RanUnknown, o.Ran)
				f()
				d.Upstream.Close()
			})
		})
	}
}

// TestDeadlinePassesWhileWaiting guards against logging a request whose time ran out while it
// waited for a slot as one whose caller left, of which only a sample is logged.
func TestDeadlinePassesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		d := newDispatch(c, nil)
		d.AcquireSlot = func(ctx context.Context, _ *request.Request) (slot.Slot, outcome.Outcome) {
			<-ctx.Done()
			return slot.Slot{}, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo}
		}
		r := &request.Request{ID: "1", Method: http.MethodPost, NonIdempotent: true, Target: "/", Deadline: c.Now().Add(time.Second)}
		o := d.Serve(t.Context(), r, httptest.NewRecorder())
		must.Eq(t, outcome.DeadlineExceeded, o.Outcome)
		must.Eq(t, outcome.RanNo, o.Ran)
	})
}

// TestDeadlinePassesBeforeSending guards against reporting a request whose deadline passed
// while it got its slot as one whose caller left: the connection of such a caller is
// aborted, and this one still waits.
func TestDeadlinePassesBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		d := newDispatch(c, nil)
		q := d.AcquireSlot
		d.AcquireSlot = func(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
			s, o := q(ctx, r)
			<-ctx.Done()
			return s, o
		}
		r := &request.Request{ID: "1", Method: http.MethodPost, NonIdempotent: true, Target: "/", Deadline: c.Now().Add(time.Second)}
		o := d.Serve(t.Context(), r, httptest.NewRecorder())
		must.Eq(t, outcome.DeadlineExceeded, o.Outcome)
		must.Eq(t, outcome.RanNo, o.Ran)
	})
}
