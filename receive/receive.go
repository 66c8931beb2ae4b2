// Package receive runs requests that hosts of other failure domains forwarded.
package receive

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/wire"
)

// Receive is the receiving side of forwarding.
type Receive struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Serve runs a request in the host's own failure domain.
	Serve func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
}

// Stream serves one forwarded request.
func (v *Receive) Stream(s wire.DRPCPeer_ForwardStream) error {
	m, err := s.Recv()
	if err != nil {
		return err
	}
	h := m.GetRequest()
	if h == nil {
		return nil
	}
	r, o := v.request(h)
	w := &answer{stream: s, header: make(http.Header)}
	if o.Outcome == "" {
		r.Body = &body{stream: s}
		o = v.serve(s.Context(), r, w)
	}
	if w.err != nil {
		return w.err
	}
	if o.Outcome == outcome.Answered {
		return s.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
	}
	return s.Send(&wire.Frame{Part: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		Outcome: o.Outcome, Ran: o.Ran, Message: o.Message, RetryAfterNanoseconds: int64(o.RetryAfter),
	}}})
}

// serve ends a stream without its end frame when the answer broke off.
func (v *Receive) serve(ctx context.Context, r *request.Request, w *answer) (o outcome.Outcome) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error chain
				panic(p)
			}
			w.err = http.ErrAbortHandler
		}
	}()
	return v.Serve(ctx, r, w)
}

func (v *Receive) request(h *wire.Request) (*request.Request, outcome.Outcome) {
	r := &request.Request{
		ID: h.Id, Method: h.Method, Target: h.Target, Header: make(http.Header, len(h.Headers)),
		Deadline: v.Clock.Now().Add(time.Duration(h.TimeoutNanoseconds)), IdempotencyID: h.IdempotencyId,
	}
	for _, x := range h.Headers {
		r.Header[x.Name] = x.Values
	}
	r.Length = length(r.Header)
	s := v.Snapshot()
	if s == nil {
		return r, outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
	}
	c, ok := s.Key(h.KeyId)
	if !ok {
		return r, outcome.Outcome{Outcome: outcome.KeyUnknown, Ran: outcome.RanNo, Message: "the key was withdrawn"}
	}
	r.Credential = c
	for _, x := range s.Config.Services {
		if x.Name == h.Service {
			r.Service = x
		}
	}
	r.NonIdempotent = r.Service.NonIdempotent || h.Method == http.MethodPost || h.Method == http.MethodPatch
	return r, outcome.Outcome{}
}

func length(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// answer sends what a handler writes as frames.
type answer struct {
	stream wire.DRPCPeer_ForwardStream
	header http.Header
	err    error
}

// Header returns the header that WriteHeader sends.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader sends the head of the answer.
func (a *answer) WriteHeader(status int) {
	m := &wire.Answer{Status: int32(status)}
	for k, v := range a.header {
		m.Headers = append(m.Headers, &wire.Header{Name: k, Values: v})
	}
	a.send(&wire.Frame{Part: &wire.Frame_Answer{Answer: m}})
}

// Write sends a piece of the body.
func (a *answer) Write(b []byte) (int, error) {
	a.send(&wire.Frame{Part: &wire.Frame_Body{Body: b}})
	if a.err != nil {
		return 0, a.err
	}
	return len(b), nil
}

func (a *answer) send(m *wire.Frame) {
	if a.err == nil {
		a.err = a.stream.Send(m)
	}
}

// body reads the body frames of a stream. A stream that ends without its end
// frame is an error, so that a cut body is never taken for a whole one.
type body struct {
	stream wire.DRPCPeer_ForwardStream
	rest   []byte
	ended  bool
}

// Read returns the next piece of the body.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		m, err := b.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		b.rest = m.GetBody()
		b.ended = m.GetEnd()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
