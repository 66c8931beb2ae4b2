// Package forward passes requests that the own failure domain cannot take to a
// host of another one, which admits them or refuses them unrun.
package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const (
	pieceBytes = 32 << 10
	// bodyBytes is the longest body that is kept for a second target. A
	// longer one is read when a target has admitted the request.
	bodyBytes = 64 << 10
	// maxTargets bounds the tries of one request.
	maxTargets = 3
)

// Forward is the sending side. A request goes one hop: the receiving host runs
// it in its own failure domain or refuses it, so that two overloaded domains
// cannot send each other the same requests.
type Forward struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Region is the region of this host.
	Region string
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Targets returns hosts of other failure domains that may take a request
	// of a service, best first.
	Targets func(service string) []member.Member
	// Link admits the bytes of a request on the link to a region. The function
	// it returns corrects them by what was sent.
	Link func(region string, bytes int64) (sent func(int64), retry time.Duration, ok bool)
	// Open starts a stream to a host. Reused tells that its connection carried
	// others before; fresh forbids that. Done ends the stream.
	Open func(ctx context.Context, address string, fresh bool) (s wire.DRPCPeer_ForwardClient, reused bool, done func(clean bool), err error)
	// Limit is how many requests are forwarded at once.
	Limit int

	mu     sync.Mutex
	active int
}

// Serve passes r on and writes the answer to w. Another target follows only
// when the one before has proven that it did not run the request.
func (f *Forward) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	if !f.begin() {
		return refuse("too many requests are forwarded", time.Second)
	}
	defer f.end()
	b, err := load(r)
	if err != nil {
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller's body broke off"}
	}
	o := refuse("no failure domain has a free slot", time.Second)
	n := 0
	for _, m := range f.Targets(r.Service.Name) {
		if n == maxTargets || b.spent() || ctx.Err() != nil {
			break
		}
		n++
		v := f.target(ctx, m, r, b, w)
		if !tryNext(v) {
			return v
		}
		// The caller hears of the earliest time that any target named.
		if n > 1 && o.RetryAfter > 0 && o.RetryAfter < v.RetryAfter {
			v.RetryAfter = o.RetryAfter
		}
		o = v
	}
	return o
}

// target sends r to one host, and again on a fresh connection if the reused one
// showed no life at all and a second run does no harm.
func (f *Forward) target(ctx context.Context, m member.Member, r *request.Request, b *body, w http.ResponseWriter) outcome.Outcome {
	s, e, ok := f.Link(m.Region, b.size(r))
	if !ok {
		return refuse("the link to the other region is full", e)
	}
	c := &count{writer: w}
	defer func() { s(c.sent.Load()) }()
	a := &attempt{forward: f, request: r, body: b, count: c}
	o := a.run(ctx, m.PeerAddress, r.NonIdempotent)
	if o.Outcome == outcome.BackendFailed && a.reused && !a.heard && !b.spent() && ctx.Err() == nil {
		a = &attempt{forward: f, request: r, body: b, count: c}
		o = a.run(ctx, m.PeerAddress, true)
	}
	return o
}

func (f *Forward) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active >= f.Limit {
		return false
	}
	f.active++
	return true
}

func (f *Forward) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}

// tryNext reports whether another domain may take the request: it did not run,
// and the reason lies in the domain that refused it.
func tryNext(o outcome.Outcome) bool {
	return o.Ran == outcome.RanNo && (o.Outcome == outcome.NoCapacity || o.Outcome == outcome.Leaving)
}

// body is the caller's body, kept whole if it is short.
type body struct {
	whole  []byte
	rest   io.Reader
	length int64
	read   bool
}

func load(r *request.Request) (*body, error) {
	if r.Body == nil {
		return &body{}, nil
	}
	if r.Length > bodyBytes {
		return &body{rest: r.Body, length: r.Length}, nil
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, bodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if len(b) <= bodyBytes {
		return &body{whole: b, length: int64(len(b))}, nil
	}
	return &body{rest: io.MultiReader(bytes.NewReader(b), r.Body), length: int64(len(b))}, nil
}

// spent reports whether a part of the body is gone.
func (b *body) spent() bool {
	return b.read
}

// reader returns the body from its start.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.whole)
	}
	b.read = true
	return b.rest
}

// known returns the body's length, -1 when it is not known.
func (b *body) known(r *request.Request) int64 {
	if b.rest == nil {
		return b.length
	}
	return r.Length
}

// size estimates the bytes of a request on the link.
func (b *body) size(r *request.Request) int64 {
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
