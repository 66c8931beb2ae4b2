package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/hopheader"
	"celeryreach.example/celeryreach/keepalive"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsehead"
	"celeryreach.example/celeryreach/wire"
)

const (
	// keepaliveInterval and maxSilence configure the keep-alives of a stream.
	keepaliveInterval = time.Second
	maxSilence        = 3 * time.Second
	// maxSilenceOnReuse is the longest wait for the first message on a reused
	// connection, where a false alarm costs nothing. The other end sends its first
	// message as soon as it has received the request, so 500 ms is enough: it is more
	// than four round trips of 110 ms.
	maxSilenceOnReuse = 500 * time.Millisecond
	// streamEndTimeout bounds the shutdown of a stream whose answer is
	// complete.
	streamEndTimeout = 100 * time.Millisecond
	// maxHeldAnswerBytes is how much of an answer is held back until the answer is
	// complete. If the stream breaks within these bytes, the caller receives a typed
	// error. If the stream breaks later, only the caller's connection can be aborted.
	maxHeldAnswerBytes = 64 << 10
)

var (
	errNoAnswerHead = errors.New("the answer ended without a head")
	errAnswerCut    = errors.New("the answer has another length than its head states")
	errOutsideHomes = errors.New("the other host no longer stands in the request's homes")
)

// attempt is one stream to one host that sends a request.
type attempt struct {
	forward *Forward
	// request is this attempt's copy, whose Attempts are those given to the other host.
	request  *request.Request
	member   member.Member
	body     *body
	transfer *transfer

	stream     wire.DRPCPeer_ForwardClient
	keepalive  *keepalive.Keepalive
	reused     bool
	gotFrame   bool
	silent     atomic.Bool
	bodyFailed atomic.Bool
	cancel     context.CancelFunc
	head       *wire.Answer
	received   int64 // bytes of the answer's body
	held       []byte
	headSent   bool
	// used is how many of the given attempts were used, or may have been.
	used int
	// heldBack is set if nothing was sent, since the host may not be sent the request.
	heldBack bool
}

// transfer counts the bytes sent, and writes the answer to the caller.
type transfer struct {
	writer http.ResponseWriter
	sent   atomic.Int64
}

// run sends the request on a stream and returns the outcome. If the caller
// disconnects, ctx ends, which ends the stream and with it the request at the
// other end.
func (a *attempt) run(ctx context.Context, fresh bool) outcome.Outcome {
	x, c := context.WithCancel(ctx)
	defer c()
	a.cancel = c
	s, r, d, err := a.forward.Open(x, a.member.PeerAddress, fresh)
	a.reused = r
	if err != nil {
		// At most the name of the RPC has been sent, so the request did not run.
		return refuse("the other failure domain cannot be reached", time.Second)
	}
	a.stream = s
	l := false
	defer func() { d(l) }()
	if !a.forward.maySend(a.request, a.member) {
		a.heldBack = true
		return refuse(errOutsideHomes.Error(), time.Second)
	}
	if r && a.request.Attempts > 1 {
		a.request.Attempts-- // for another stream if this one is dead
	}
	a.used = a.request.Attempts
	e := a.watch(x)
	defer func() { e(l) }()
	if err := a.send(); err != nil {
		return a.endLost(ctx, err)
	}
	o := a.receiveAnswer(ctx)
	l = o.Outcome == outcome.Answered || o.Ran == outcome.RanNo && o.Outcome != outcome.Left
	return o
}

// watch cancels the stream if the other end is silent for too long.
func (a *attempt) watch(ctx context.Context) (end func(clean bool)) {
	f := a.forward
	a.keepalive = &keepalive.Keepalive{
		Clock: f.Clock, Interval: keepaliveInterval, MaxFirstSilence: maxSilence, MaxSilence: maxSilence,
		Send: func() error { return a.stream.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}) },
		OnLost: func() {
			a.silent.Store(true)
			a.cancel()
		},
	}
	if a.reused {
		a.keepalive.MaxFirstSilence = maxSilenceOnReuse
	}
	x, s := context.WithCancel(ctx)
	d := make(chan struct{})
	go a.keepalive.Run(x, d)
	return func(clean bool) {
		if !clean {
			a.cancel()
		}
		s()
		// A send that blocks because the other host is silent would delay the end of
		// Run, so the stream is canceled after streamEndTimeout.
		t := f.Clock.AfterFunc(streamEndTimeout, a.cancel)
		<-d
		t.Stop()
	}
}

// send sends the head of the request, and the body if it is short. A long body
// is sent when the other end requests it.
func (a *attempt) send() error {
	r := a.request
	h := &wire.Request{
		Id: r.ID, Account: r.Credential.Account, Service: r.Service.Name, Method: r.Method, Target: r.Target,
		Headers: headers(r.Header), TimeoutNanoseconds: int64(r.Deadline.Sub(a.forward.Clock.Now())),
		IdempotencyId: r.IdempotencyID, ConfigVersion: a.forward.Version(), KeyId: r.Credential.Hash,
		FromRegion: a.forward.Region, HasBody: r.Body != nil, Length: a.body.knownLength(r),
	}
	if a.forward.Complete != nil {
		a.forward.Complete(h, r)
	}
	if err := a.stream.Send(&wire.Frame{Part: &wire.Frame_Request{Request: h}}); err != nil {
		return err
	}
	a.transfer.sent.Store(a.body.linkBytes(r) - a.body.length)
	if a.body.unread != nil {
		return nil
	}
	return a.sendBody()
}

func (a *attempt) sendBody() error {
	r := a.body.reader()
	b := make([]byte, min(bodyChunkBytes, max(1, a.body.length)))
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := a.stream.Send(&wire.Frame{Part: &wire.Frame_Body{Body: b[:n]}}); err != nil {
				return err
			}
			a.transfer.sent.Add(int64(n))
		}
		if err == io.EOF {
			return a.stream.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
		}
		if err != nil {
			return err
		}
	}
}

// receiveAnswer processes the frames of the answer.
func (a *attempt) receiveAnswer(ctx context.Context) outcome.Outcome {
	w := false
	for {
		a.keepalive.StartWaiting()
		m, err := a.stream.Recv()
		if err != nil {
			return a.endLost(ctx, err)
		}
		a.keepalive.Received()
		a.gotFrame = true
		if err := a.checkFrame(m); err != nil {
			return a.endLost(ctx, err)
		}
		switch v := m.Part.(type) {
		case *wire.Frame_BodyWanted:
			if w || a.body.unread == nil {
				continue
			}
			if !a.forward.maySend(a.request, a.member) {
				return a.endLost(ctx, errOutsideHomes)
			}
			w = true
			if s := a.request.BodyReadStarted; s != nil {
				s.Store(true) // before a refusal that may follow
			}
			go a.sendLongBody()
		case *wire.Frame_Refusal:
			return a.endRefused(v.Refusal)
		case *wire.Frame_Answer:
			if a.head == nil {
				a.head = v.Answer
			}
		case *wire.Frame_Body:
			if !a.write(v.Body) {
				return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown, Message: "the caller left"}
			}
		case *wire.Frame_End:
			a.flush()
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		}
	}
}

// checkFrame returns why a frame can't come next in an answer. A writer would take a body without
// a head, and one after the head of an interim answer, for that of a success.
func (a *attempt) checkFrame(m *wire.Frame) error {
	switch v := m.Part.(type) {
	case *wire.Frame_Answer:
		return checkHead(v.Answer)
	case *wire.Frame_Body:
		if a.head == nil {
			return errNoAnswerHead
		}
		a.received += int64(len(v.Body))
	case *wire.Frame_End:
		if a.head == nil {
			return errNoAnswerHead
		}
		if l := a.statedLength(); l != "" && l != strconv.FormatInt(a.received, 10) {
			return errAnswerCut
		}
	}
	return nil
}

// checkHead returns why a response can't have this head.
func checkHead(v *wire.Answer) error {
	h := make(http.Header, len(v.GetHeaders()))
	for _, x := range v.GetHeaders() {
		h[x.GetName()] = x.GetValues()
	}
	return responsehead.Check(int(v.GetStatus()), h)
}

// statedLength returns the length that the answer's head states, empty if the body need not have
// it.
func (a *attempt) statedLength() string {
	s := a.head.GetStatus()
	if a.request.Method == http.MethodHead || s == http.StatusNoContent || s == http.StatusNotModified {
		return ""
	}
	for _, v := range a.head.Headers {
		if v.Name == "Content-Length" && len(v.Values) > 0 {
			return v.Values[0]
		}
	}
	return ""
}

// sendLongBody sends a long body. No goroutine waits for sendLongBody, because a caller
// that sends slowly must not delay an answer that arrives before the body is read.
// sendLongBody returns when the stream ends or when the server closes the caller's
// body.
func (a *attempt) sendLongBody() {
	if err := a.sendBody(); err != nil {
		a.bodyFailed.Store(true)
		a.cancel()
	}
}

// endRefused returns the outcome that the other end reported. If part of the answer has
// been sent to the caller, endRefused aborts the caller's connection instead, because
// nothing else shows the caller that the rest is missing.
func (a *attempt) endRefused(v *wire.Refusal) outcome.Outcome {
	if a.headSent {
		panic(http.ErrAbortHandler)
	}
	if v.Attempts != nil {
		a.used = max(0, int(v.GetAttempts()))
	}
	for _, n := range v.GetAttemptedBackends() {
		a.request.AttemptedBackends.AddReceived(n)
	}
	return outcome.Outcome{Outcome: v.Outcome, Ran: v.Ran, Message: v.Message, RetryAfter: time.Duration(v.RetryAfterNanoseconds)}
}

// write holds back the start of the answer and passes on the rest.
func (a *attempt) write(b []byte) bool {
	if !a.headSent && len(a.held)+len(b) <= maxHeldAnswerBytes {
		a.held = append(a.held, b...)
		return true
	}
	a.flush()
	_, err := a.transfer.writer.Write(b)
	return err == nil
}

func (a *attempt) flush() {
	if a.headSent || a.head == nil {
		return
	}
	a.headSent = true
	h := a.transfer.writer.Header()
	for _, v := range a.head.Headers {
		h[v.Name] = v.Values
	}
	hopheader.Strip(h)
	a.transfer.writer.WriteHeader(int(a.head.Status))
	if len(a.held) > 0 {
		// A write fails if the caller has disconnected; the next write returns
		// the error.
		_, _ = a.transfer.writer.Write(a.held)
	}
	a.held = nil
}

// endLost returns the outcome of a stream that failed after the request was
// sent.
func (a *attempt) endLost(ctx context.Context, err error) outcome.Outcome {
	if a.headSent {
		panic(http.ErrAbortHandler)
	}
	o := outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
	switch {
	case a.bodyFailed.Load():
		o.Outcome = outcome.Left
		o.Message = "the caller's body broke off"
		return o
	case a.silent.Load():
		o.Message = "the other failure domain went silent"
	case deadline.Exceeded(ctx):
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
