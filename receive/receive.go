// Package receive runs requests that hosts of other failure domains forwarded.
package receive

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/keepalive"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/wire"
)

const (
	keepaliveInterval = time.Second
	maxSilence        = 3 * time.Second
)

// Receive is the receiving side of forwarding. It never forwards a request
// again.
type Receive struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Snapshot returns the configuration in force, nil before the first one.
	Snapshot func() *snapshot.Snapshot
	// Resolve sets what r needs beside the fields that it has from h, or returns the outcome
	// that refuses r. Nil looks them up in Snapshot.
	Resolve func(h *wire.Request, r *request.Request) outcome.Outcome
	// Admit admits a request from a region, or returns the outcome that refuses
	// it. The function that it returns is called with the outcome of the
	// request and the number of bytes sent as its answer.
	Admit func(r *request.Request, region string) (ended func(o outcome.Outcome, bytes int64), o outcome.Outcome)
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
	// Confirm immediately that this connection works.
	if err := s.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}); err != nil {
		return err
	}
	r, o := v.newRequest(h)
	if o.Outcome != "" {
		return sendRefusal(s, r, o)
	}
	e, o := v.Admit(r, h.FromRegion)
	if o.Outcome != "" {
		return sendRefusal(s, r, o)
	}
	w := &answerWriter{stream: s, header: make(http.Header)}
	o = v.run(s, r, h.HasBody, w)
	err = w.finish(r, o)
	e(o, w.bytes) // a host that shuts down may end its connections now
	return err
}

// run serves r and watches the sender. When the caller has disconnected or the
// sender is silent, the context ends and with it the request.
func (v *Receive) run(s wire.DRPCPeer_ForwardStream, r *request.Request, hasBody bool, w *answerWriter) outcome.Outcome {
	x, c := context.WithCancel(s.Context())
	p := &keepalive.Keepalive{
		Clock: v.Clock, Interval: keepaliveInterval, MaxFirstSilence: maxSilence, MaxSilence: maxSilence, OnLost: c,
		Send: func() error { return s.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}) },
	}
	b := &body{stream: s, keepalive: p, ctx: x, chunks: make(chan []byte), ended: make(chan error, 1)}
	if hasBody {
		r.Body = b
	}
	d := make(chan struct{})
	go p.Run(x, d)
	// receiveFrames returns when the stream ends, at the latest when Stream
	// returns.
	go b.receiveFrames(c)
	defer func() {
		c()
		<-d
	}()
	return v.serve(x, r, w)
}

// serve runs a request. If its answer is aborted, the stream ends without an
// end frame.
func (v *Receive) serve(ctx context.Context, r *request.Request, w *answerWriter) (o outcome.Outcome) {
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

func (v *Receive) newRequest(h *wire.Request) (*request.Request, outcome.Outcome) {
	r := &request.Request{
		ID: h.Id, Method: h.Method, Target: h.Target, Header: make(http.Header, len(h.Headers)),
		Deadline: v.Clock.Now().Add(time.Duration(h.TimeoutNanoseconds)), IdempotencyID: h.IdempotencyId,
		Length: h.Length, AttemptedBackends: new(attempted.Attempted),
	}
	for _, x := range h.Headers {
		r.Header[x.Name] = x.Values
	}
	if v.Resolve != nil {
		return r, v.Resolve(h, r)
	}
	return r, v.resolve(h, r)
}

// resolve finds the service and the key of a request in Snapshot.
func (v *Receive) resolve(h *wire.Request, r *request.Request) outcome.Outcome {
	s := v.Snapshot()
	if s == nil {
		return refusedOutcome(outcome.NoCapacity, "the receiving host has no configuration yet")
	}
	c, ok := s.Key(h.KeyId)
	switch {
	case ok:
	case s.Config.Version < h.ConfigVersion:
		// The sender has a newer configuration, so the key may be new. It must
		// not be reported as withdrawn.
		return refusedOutcome(outcome.NoCapacity, "the host has an older configuration")
	default:
		return refusedOutcome(outcome.KeyUnknown, "the key was withdrawn")
	}
	r.Credential = c
	for _, x := range s.Config.Services {
		if x.Name == h.Service {
			r.Service = x
			r.NonIdempotent = x.NonIdempotent || h.Method == http.MethodPost || h.Method == http.MethodPatch
			return outcome.Outcome{}
		}
	}
	return refusedOutcome(outcome.NoCapacity, "the service is not configured on the receiving host")
}

func refusedOutcome(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m, RetryAfter: time.Second}
}

// sendRefusal sends the outcome of r and the attempts that it used here.
func sendRefusal(s wire.DRPCPeer_ForwardStream, r *request.Request, o outcome.Outcome) error {
	l := r.AttemptedBackends.Received()
	return s.Send(&wire.Frame{Part: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		Outcome: o.Outcome, Ran: o.Ran, Message: o.Message, RetryAfterNanoseconds: int64(o.RetryAfter),
		Attempts: proto.Int32(int32(len(l))), AttemptedBackends: l, //nolint:gosec // a small number
	}}})
}

// answerWriter is a ResponseWriter that sends the answer as frames.
type answerWriter struct {
	stream   wire.DRPCPeer_ForwardStream
	header   http.Header
	headSent bool
	bytes    int64
	err      error
}

// Header returns the header that WriteHeader sends.
func (a *answerWriter) Header() http.Header {
	return a.header
}

// WriteHeader sends the head of the answer.
func (a *answerWriter) WriteHeader(status int) {
	if a.headSent || status < http.StatusOK {
		return
	}
	a.headSent = true
	m := &wire.Answer{Status: int32(status)}
	for k, v := range a.header {
		m.Headers = append(m.Headers, &wire.Header{Name: k, Values: v})
		for _, s := range v {
			a.bytes += int64(len(k) + len(s))
		}
	}
	a.send(&wire.Frame{Part: &wire.Frame_Answer{Answer: m}})
}

// Write sends a chunk of the body.
func (a *answerWriter) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.send(&wire.Frame{Part: &wire.Frame_Body{Body: b}})
	if a.err != nil {
		return 0, a.err
	}
	a.bytes += int64(len(b))
	return len(b), nil
}

// finish sends what is missing of the answer, or the outcome of a request without one.
func (a *answerWriter) finish(r *request.Request, o outcome.Outcome) error {
	if a.err != nil {
		return a.err
	}
	if o.Outcome != outcome.Answered {
		return sendRefusal(a.stream, r, o)
	}
	a.WriteHeader(http.StatusOK) // no-op if the head has been sent
	return a.stream.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
}

func (a *answerWriter) send(m *wire.Frame) {
	if a.err == nil {
		a.err = a.stream.Send(m)
	}
}
