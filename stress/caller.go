package stress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/tickets"
)

const (
	leaveFraction  = 0.6
	leaveWithin    = 8 * time.Millisecond
	postFraction   = 0.4
	idFraction     = 0.8
	ticketFraction = 0.2
	maxAttempts    = 3
	patience       = 10 * time.Second
	refusedPause   = 20 * time.Millisecond
)

// order is one request of a caller, with all of its attempts.
type order struct {
	name, method, target, body, id, digest string
	// host alone runs the order's ticket; empty if it has none.
	host string
}

// call sends requests until all have been sent.
func (s *Stress) call(ctx context.Context, n int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	t := new(http.Transport)
	defer t.CloseIdleConnections()
	r := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	for ctx.Err() == nil && s.next.Add(1) <= int64(s.Requests) {
		s.serve(ctx, t, r, s.order(ctx, t, r))
	}
}

func (s *Stress) order(ctx context.Context, t *http.Transport, r *rand.Rand) order {
	o := order{name: fmt.Sprintf("%016x", r.Uint64()), method: http.MethodGet}
	o.target = "/listings/" + o.name
	if r.Float64() < postFraction {
		o.method = http.MethodPost
		o.target = "/enrolments/" + o.name
		o.body = "child=" + o.name
		if r.Float64() < idFraction {
			o.id = "id-" + o.name
		}
		if r.Float64() < ticketFraction {
			o.id, o.host = s.ticket(ctx, t, r)
		}
	}
	h := sha256.Sum256([]byte(o.body))
	o.digest = hex.EncodeToString(h[:])
	return o
}

// serve sends a request, and an unanswered one with an id again.
func (s *Stress) serve(ctx context.Context, t *http.Transport, r *rand.Rand, o order) {
	for a := range maxAttempts {
		i := fmt.Sprintf("%s-%d", o.name, a)
		e, c := s.attempt(ctx, t, r, o, i)
		c.id = i
		c.request = o.name
		c.once = o.method == http.MethodPost
		s.judge.add(c, e)
		if c.ran == outcome.RanNo {
			s.pause(ctx, refusedPause)
		}
		if e == outcome.Answered || o.id == "" {
			return
		}
	}
}

func (s *Stress) attempt(ctx context.Context, t *http.Transport, r *rand.Rand, o order, id string) (string, claim) {
	w := patience
	if r.Float64() < leaveFraction {
		w = time.Duration(r.Int64N(int64(leaveWithin)))
	}
	x, f := context.WithTimeout(ctx, w)
	defer f()
	h := s.host(r)
	if o.host != "" {
		h = o.host
	}
	q, err := http.NewRequestWithContext(x, o.method, "http://"+h+o.target, strings.NewReader(o.body))
	if err != nil {
		return "BadRequest", claim{}
	}
	q.Header.Set("Authorization", "Bearer "+s.fleet.Keys[accountName])
	q.Header.Set(backendstandin.JudgeHeader, id)
	if o.id != "" {
		q.Header.Set("Idempotency-Key", o.id)
	}
	p, err := t.RoundTrip(q)
	if err != nil {
		return s.broken(x, "NoAnswer"), claim{}
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return s.broken(x, "BrokenAnswer"), claim{}
	}
	if p.StatusCode == http.StatusOK {
		return outcome.Answered, claim{ran: outcome.RanYes, fault: whole(string(b), o.method, o.target, o.digest)}
	}
	var v outcome.Outcome
	if err := codec.Unmarshal(b, &v); err != nil {
		return "Unreadable", claim{fault: fmt.Sprintf("status %d with an answer that is no outcome: %.200q", p.StatusCode, b)}
	}
	return v.Outcome + "-" + v.Ran, claim{ran: v.Ran}
}

func (s *Stress) broken(ctx context.Context, how string) string {
	if ctx.Err() != nil {
		return outcome.Left
	}
	return how
}

// host draws an entry host, running or not: callers' look-ups lag.
func (s *Stress) host(r *rand.Rand) string {
	h := s.fleet.Hosts()
	return s.fleet.Settings(h[r.IntN(len(h))]).CallerAddress
}

// ticket asks a host for a ticket, and is content without one.
func (s *Stress) ticket(ctx context.Context, t *http.Transport, r *rand.Rand) (id, host string) {
	x, f := context.WithTimeout(ctx, time.Second)
	defer f()
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+s.host(r)+"/tickets", nil)
	if err != nil {
		return "", ""
	}
	q.Header.Set("Authorization", "Bearer "+s.fleet.Keys[accountName])
	p, err := t.RoundTrip(q)
	if err != nil {
		return "", ""
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	var v tickets.Tickets
	if err != nil || codec.Unmarshal(b, &v) != nil || len(v.Tickets) == 0 {
		return "", ""
	}
	return v.Tickets[0], v.EntryHost
}
