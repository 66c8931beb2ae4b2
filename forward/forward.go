// Package forward sends requests that the local failure domain cannot run to a host of
// another failure domain. That host either admits a request or refuses the request
// without running it.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/chunkbuffer"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const (
	bodyChunkBytes = 32 << 10
	// maxBufferedBodyBytes is the maximum size of a body that is buffered so that
	// it can be sent to a second target. A longer body is read only after a
	// target has admitted the request.
	maxBufferedBodyBytes = 64 << 10
	// maxTargets bounds the number of hosts that one request is sent to.
	maxTargets = 3
)

// Forward is the sending side. A request is forwarded only once: the receiving
// host runs it in its own failure domain or refuses it, so that two overloaded
// domains cannot send each other the same requests.
type Forward struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Region is the region of this host.
	Region string
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Targets returns the hosts that may run a request, best first.
	Targets func(r *request.Request) []member.Member
	// MaySend reports whether a request may be sent to a host now. It is called again when
	// the stream is open and before a long body is sent, since both take time. Nil permits
	// all.
	MaySend func(r *request.Request, m member.Member) bool
	// MayRepeat reports whether a request that a backend server may have received by an
	// earlier stream may be sent on another one. Nil permits all.
	MayRepeat func(r *request.Request) bool
	// MayStart reports whether a request with this deadline ends before this host does. It is
	// called before a request is sent on another stream. Nil means always.
	MayStart func(deadline time.Time) bool
	// Complete adds to a message what the receiving host can't look up; nil adds nothing.
	Complete func(m *wire.Request, r *request.Request)
	// ReserveLink reserves the bytes of a request on the link to a region. The
	// function that it returns corrects the reservation to the bytes that were
	// sent.
	ReserveLink func(region string, bytes int64) (sent func(int64), retry time.Duration, ok bool)
	// Open opens a stream to a host. Reused reports whether its connection
	// carried other streams before; fresh demands a new connection. Done ends
	// the stream.
	Open func(ctx context.Context, address string, fresh bool) (s wire.DRPCPeer_ForwardClient, reused bool, done func(clean bool), err error)
	// Limit is the maximum number of requests that are forwarded at the same
	// time.
	Limit int

	mu     sync.Mutex
	active int
}

// Serve forwards r and writes the answer to w. It tries another target only if the
// previous target is known not to have run the request and has left some of its attempts.
// Used is how many of them were used, or may have been.
func (f *Forward) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) (o outcome.Outcome, used int) {
	if !f.acquire() {
		return refuse("too many requests are being forwarded", time.Second), 0
	}
	defer f.release()
	b, err := loadBody(r)
	if err != nil {
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller's body broke off"}, 0
	}
	o = refuse("no failure domain has a free slot", time.Second)
	n := 0
	h := false // whether an earlier stream may have run r
	for _, m := range f.Targets(r) {
		q, ok := withAttemptsLeft(r, used)
		if !ok || n == maxTargets || b.isConsumed() || ctx.Err() != nil {
			break
		}
		if !f.maySend(q, m) {
			continue
		}
		if used > 0 && !f.mayRepeat(q) {
			break
		}
		v := f.sendTo(ctx, m, q, b, w)
		if v.heldBack {
			continue
		}
		n++
		used += v.used
		h = h || v.lost
		if !f.mayTryNext(r, v.outcome) {
			return combinedOutcome(v.outcome, h), used
		}
		if n > 1 {
			v.outcome.RetryAfter = earliestRetry(o, v.outcome)
		}
		o = v.outcome
	}
	return combinedOutcome(o, h), used
}

// earliestRetry returns the earlier of the times that two targets returned.
func earliestRetry(a, b outcome.Outcome) time.Duration {
	if a.RetryAfter > 0 {
		return min(a.RetryAfter, b.RetryAfter)
	}
	return b.RetryAfter
}

// combinedOutcome turns the outcome of the last stream into that of the request. If r may
// have run by an earlier one, the caller must not be informed that it did not run.
func combinedOutcome(o outcome.Outcome, mayHaveRun bool) outcome.Outcome {
	if !mayHaveRun || o.Ran != outcome.RanNo {
		return o
	}
	o.Ran = outcome.RanUnknown
	if o.Outcome != outcome.Left && o.Outcome != outcome.DeadlineExceeded {
		o.Outcome = outcome.BackendFailed
		o.Message = "an earlier attempt may have run; the last one ended with: " + o.Message
	}
	return o
}

// withAttemptsLeft returns a copy of r with the attempts that are left after some were used,
// and false if none is. A request without a limit stays without one.
func withAttemptsLeft(r *request.Request, used int) (*request.Request, bool) {
	q := *r
	if r.Attempts > 0 {
		q.Attempts -= used
	}
	return &q, r.Attempts == 0 || q.Attempts > 0
}

// sendResult is the result of sending a request to one host.
type sendResult struct {
	outcome  outcome.Outcome
	used     int  // attempts that were used, or may have been
	lost     bool // the request may have run by a stream before the last one
	heldBack bool // nothing was sent, since the host had come to be none that may be sent it
}

// sendTo sends r to one host. If a reused connection yields no frame at all, sendTo sends r
// again on a new connection, since only requests that may run twice use reused connections.
// The last attempt gets a new connection at once: if the host has gone, opening it fails and
// uses no attempt.
func (f *Forward) sendTo(ctx context.Context, m member.Member, r *request.Request, b *body, w http.ResponseWriter) sendResult {
	s, e, ok := f.ReserveLink(m.Region, b.linkBytes(r))
	if !ok {
		return sendResult{outcome: refuse("the link to the other region is full", e)}
	}
	c := &transfer{writer: w}
	defer func() { s(c.sent.Load()) }()
	q, _ := withAttemptsLeft(r, 0)
	a := &attempt{forward: f, request: q, member: m, body: b, transfer: c}
	o := a.run(ctx, r.NonIdempotent || r.Attempts == 1)
	if o.Outcome != outcome.BackendFailed || !a.reused || a.gotFrame || b.isConsumed() || ctx.Err() != nil {
		return sendResult{outcome: o, used: a.used, heldBack: a.heldBack}
	}
	if !f.mayRepeat(r) {
		return sendResult{outcome: o, used: a.used}
	}
	q, _ = withAttemptsLeft(r, a.used)
	t := &attempt{forward: f, request: q, member: m, body: b, transfer: c}
	o = t.run(ctx, true)
	return sendResult{outcome: o, used: a.used + t.used, lost: true}
}

func (f *Forward) maySend(r *request.Request, m member.Member) bool {
	return f.MaySend == nil || f.MaySend(r, m)
}

func (f *Forward) mayRepeat(r *request.Request) bool {
	return f.mayStart(r) && (f.MayRepeat == nil || f.MayRepeat(r))
}

// mayStart reports whether r ends before this host does. The host may have begun to shut down
// while another one had r.
func (f *Forward) mayStart(r *request.Request) bool {
	return f.MayStart == nil || f.MayStart(r.Deadline)
}

func (f *Forward) acquire() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active >= f.Limit {
		return false
	}
	f.active++
	return true
}

func (f *Forward) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}

// mayTryNext reports whether another failure domain may run r. This requires that r did not
// run and ends before this host does, and that the reason for its refusal is specific to the
// domain that refused it.
func (f *Forward) mayTryNext(r *request.Request, o outcome.Outcome) bool {
	return f.mayStart(r) && o.Ran == outcome.RanNo && (o.Outcome == outcome.NoCapacity || o.Outcome == outcome.Leaving)
}

// body is the body of a caller's request, buffered completely if it is short.
type body struct {
	rewind   func() io.Reader // nil if the body is not buffered
	unread   io.Reader
	length   int64
	consumed bool
}

func loadBody(r *request.Request) (*body, error) {
	if r.Body == nil {
		return &body{}, nil
	}
	if r.Rewind != nil && r.Length >= 0 {
		return &body{rewind: r.Rewind, length: r.Length}, nil
	}
	if r.Length > maxBufferedBodyBytes {
		return &body{unread: r.Body, length: r.Length}, nil
	}
	b := &chunkbuffer.Chunkbuffer{Take: r.Memory.Take}
	a, err := b.Fill(r.Body, maxBufferedBodyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if a {
		return &body{rewind: b.Reader, length: b.Len()}, nil
	}
	return &body{unread: io.MultiReader(b.Reader(), r.Body), length: b.Len()}, nil
}

// isConsumed reports whether reading of an unbuffered body has begun, so that the body
// cannot be sent again.
func (b *body) isConsumed() bool {
	return b.consumed
}

// reader returns the body from its start.
func (b *body) reader() io.Reader {
	if b.rewind != nil {
		return b.rewind()
	}
	if b.unread == nil {
		return http.NoBody
	}
	b.consumed = true
	return b.unread
}

// knownLength returns the body's length, or -1 if it is unknown.
func (b *body) knownLength(r *request.Request) int64 {
	if b.unread == nil {
		return b.length
	}
	return r.Length
}

// linkBytes estimates the bytes that a request uses on the link.
func (b *body) linkBytes(r *request.Request) int64 {
	n := b.length + int64(len(r.Target))
	for k, v := range r.Header {
		for _, s := range v {
			n += int64(len(k) + len(s))
		}
	}
	return n
}

func refuse(m string, d time.Duration) outcome.Outcome {
	return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: m, RetryAfter: d}
}
