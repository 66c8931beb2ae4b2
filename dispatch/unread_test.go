package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/upstream"
)

// Guards against a request with a body too long to be buffered that is refused because the first
// backend server can't be reached, though nothing of the body was read; and against one that is sent
// again after a part of it was.
func TestUnreadBodyIsSentAgain(t *testing.T) {
	body := strings.Repeat("b", 300_000)
	for _, read := range []bool{false, true} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(read, nonIdempotent), func(t *testing.T) {
				var received []string
				second := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
					b, err := io.ReadAll(q.Body)
					received = append(received, fmt.Sprint(string(b) == body, err))
				}))
				defer second.Close()
				first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					_, _ = io.ReadFull(q.Body, make([]byte, 1000)) // the rest doesn't matter
					w.Header().Set(responsecopier.NotRunHeader, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}))
				defer first.Close()
				c := clockwork.NewRealClock()
				d := newDispatch(c, func() {})
				d.ResponseCopier = &responsecopier.Responsecopier{Clock: c, BufferLimit: bufferLimit, WriteTimeout: time.Second}
				d.Upstream = upstream.New(c, time.Second)
				d.Upstream.Dial = func(ctx context.Context, a string) (net.Conn, error) {
					if a == "none:80" {
						return nil, &net.OpError{Op: "dial", Err: errors.New("no route")}
					}
					return new(net.Dialer).DialContext(ctx, "tcp", a)
				}
				l := []string{"none:80", second.Listener.Addr().String()}
				if read {
					l[0] = first.Listener.Addr().String()
				}
				d.AcquireSlot = func(context.Context, *request.Request) (slot.Slot, outcome.Outcome) {
					a := l[0]
					l = l[1:]
					return slot.Slot{
						Backend: backend.Backend{Name: a, Address: a}, OnResponse: func(int, http.Header) {}, Release: func(result.Result) {},
					}, outcome.Outcome{}
				}
				r := &request.Request{
					ID: "1", Method: http.MethodPost, Target: "/", NonIdempotent: nonIdempotent, Header: make(http.Header),
					Deadline: c.Now().Add(10 * time.Second), Attempts: 2, Body: strings.NewReader(body), Length: int64(len(body)),
				}
				r.TrackBody()
				o := d.Serve(t.Context(), r, httptest.NewRecorder())
				d.Upstream.Close()
				if read {
					must.EqOp(t, outcome.NoCapacity, o.Outcome)
					must.SliceEmpty(t, received)
					return
				}
				must.EqOp(t, outcome.Answered, o.Outcome)
				must.Eq(t, []string{"true <nil>"}, received)
			})
		}
	}
}
