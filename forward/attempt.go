package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/hop"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/pulse"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const (
	// pulseEvery and maxSilence are the times of package pulse.
	pulseEvery = time.Second
	maxSilence = 3 * time.Second
	// firstPulse is for reused connections, where nothing is lost by a false
	// alarm. The first message comes as soon as the request is there, so this
	// is more than four round trips of 110 ms.
	firstPulse = 500 * time.Millisecond
	// endWait bounds the end of a stream whose answer is complete.
	endWait = 100 * time.Millisecond
	// heldBytes is how much of an answer is held back until it is complete: up
	// to here a break costs a typed error, later the caller's connection.
	heldBytes = 64 << 10
)

var errNoHead = errors.New("the answer has no head")

// attempt is one stream to one host.
type attempt struct {
	forward *Forward
	request *request.Request
	body    *body
	count   *count

	stream wire.DRPCPeer_ForwardClient
	pulse  *pulse.Pulse
	reused bool
	heard  bool
	silent atomic.Bool
	broken atomic.Bool
	cancel context.CancelFunc
	head   *wire.Answer
	held   []byte
	begun  bool
}

// count counts the bytes sent, and passes the answer on.
type count struct {
	writer http.ResponseWriter
	sent   atomic.Int64
}

// run returns how the stream ended. A caller that leaves ends ctx, and with it
// the stream and the request at the other end.
func (a *attempt) run(ctx context.Context, address string, fresh bool) outcome.Outcome {
	x, c := context.WithCancel(ctx)
	defer c()
	a.cancel = c
	s, r, d, err := a.forward.Open(x, address, fresh)
	a.reused = r
	if err != nil {
		// Only the name of the call can have left.
		return refuse("the other failure domain cannot be reached", time.Second)
	}
	a.stream = s
	l := false
	defer func() { d(l) }()
	e := a.watch(x)
	defer func() { e(l) }()
	if err := a.send(); err != nil {
		return a.lost(ctx, err)
	}
	o := a.receive(ctx)
	l = o.Outcome == outcome.Answered || o.Ran == outcome.RanNo && o.Outcome != outcome.Left
	return o
}

// watch ends the stream when the other end falls silent.
func (a *attempt) watch(ctx context.Context) (end func(clean bool)) {
	f := a.forward
	a.pulse = &pulse.Pulse{
		Clock: f.Clock, Every: pulseEvery, First: maxSilence, Silence: maxSilence,
		Send: func() error { return a.stream.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}) },
		Lost: func() {
			a.silent.Store(true)
			a.cancel()
		},
	}
	if a.reused {
		a.pulse.First = firstPulse
	}
	x, s := context.WithCancel(ctx)
	d := make(chan struct{})
	go a.pulse.Run(x, d)
	return func(clean bool) {
		if !clean {
			a.cancel()
		}
		s()
		// A message on its way to a silent host would hold this up.
		t := f.Clock.AfterFunc(endWait, a.cancel)
		<-d
		t.Stop()
	}
}

// send sends the head, and the body if it is short. A long body follows when
// the other end asks for it.
func (a *attempt) send() error {
	r := a.request
	h := &wire.Request{
		Id: r.ID, Account: r.Credential.Account, Service: r.Service.Name, Method: r.Method, Target: r.Target,
		Headers: headers(r.Header), TimeoutNanoseconds: int64(r.Deadline.Sub(a.forward.Clock.Now())),
		IdempotencyId: r.IdempotencyID, ConfigVersion: a.forward.Version(), KeyId: r.Credential.Hash,
		FromRegion: a.forward.Region, HasBody: r.Body != nil, Length: a.body.known(r),
	}
	if err := a.stream.Send(&wire.Frame{Part: &wire.Frame_Request{Request: h}}); err != nil {
		return err
	}
	a.count.sent.Store(a.body.size(r) - a.body.length)
	if a.body.rest != nil {
		return nil
	}
	return a.pieces()
}

func (a *attempt) pieces() error {
	r := a.body.reader()
	b := make([]byte, min(pieceBytes, max(1, a.body.length)))
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := a.stream.Send(&wire.Frame{Part: &wire.Frame_Body{Body: b[:n]}}); err != nil {
				return err
			}
			a.count.sent.Add(int64(n))
		}
		if err == io.EOF {
			return a.stream.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
		}
		if err != nil {
			return err
		}
	}
}

// receive takes the frames of the answer.
func (a *attempt) receive(ctx context.Context) outcome.Outcome {
	w := false
	for {
		a.pulse.Wait()
		m, err := a.stream.Recv()
		if err != nil {
			return a.lost(ctx, err)
		}
		a.pulse.Got()
		a.heard = true
		switch v := m.Part.(type) {
		case *wire.Frame_BodyWanted:
			if w || a.body.rest == nil {
				continue
			}
			w = true
			go a.long()
		case *wire.Frame_Refusal:
			return a.refused(v.Refusal)
		case *wire.Frame_Answer:
			if a.head == nil {
				a.head = v.Answer
			}
		case *wire.Frame_Body:
			if !a.write(v.Body) {
				return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown, Message: "the caller left"}
			}
		case *wire.Frame_End:
			if a.head == nil {
				return a.lost(ctx, errNoHead)
			}
			a.flush()
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		}
	}
}

// long sends a long body. Nobody waits for its end, since a caller that sends
// slowly must not hold up an answer that comes before its body is read; it ends
// with the stream, or with the caller's body, which the server closes.
func (a *attempt) long() {
	if err := a.pieces(); err != nil {
		a.broken.Store(true)
		a.cancel()
	}
}

// refused ends a request by the other end's word. After a part of the answer
// went out, only a broken connection tells the caller that the rest is missing.
func (a *attempt) refused(v *wire.Refusal) outcome.Outcome {
	if a.begun {
		panic(http.ErrAbortHandler)
	}
	return outcome.Outcome{Outcome: v.Outcome, Ran: v.Ran, Message: v.Message, RetryAfter: time.Duration(v.RetryAfterNanoseconds)}
}

// write holds the start of the answer back and passes on the rest.
func (a *attempt) write(b []byte) bool {
	if !a.begun && len(a.held)+len(b) <= heldBytes {
		a.held = append(a.held, b...)
		return true
	}
	a.flush()
	_, err := a.count.writer.Write(b)
	return err == nil
}

func (a *attempt) flush() {
	if a.begun || a.head == nil {
		return
	}
	a.begun = true
	h := a.count.writer.Header()
	for _, v := range a.head.Headers {
		h[v.Name] = v.Values
	}
	hop.Strip(h)
	a.count.writer.WriteHeader(int(a.head.Status))
	if len(a.held) > 0 {
		// A failed write means that the caller left; the next one tells.
		_, _ = a.count.writer.Write(a.held)
	}
	a.held = nil
}

// lost is the outcome of a stream that broke after the request was sent.
func (a *attempt) lost(ctx context.Context, err error) outcome.Outcome {
	if a.begun {
		panic(http.ErrAbortHandler)
	}
	o := outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
	switch {
	case a.broken.Load():
		o.Outcome = outcome.Left
		o.Message = "the caller's body broke off"
		return o
	case a.silent.Load():
		o.Message = "the other failure domain went silent"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		o.Outcome = outcome.DeadlineExceeded
		return o
	case ctx.Err() != nil:
		o.Outcome = outcome.Left
		return o
	}
	if a.request.NonIdempotent {
		o.Outcome = outcome.OutcomeUnknown
	}
	return o
}

func headers(h http.Header) []*wire.Header {
	var r []*wire.Header
	for k, v := range h {
		r = append(r, &wire.Header{Name: k, Values: v})
	}
	return r
}
