package stress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/responsebody"
	"celeryreach.example/celeryreach/responsehead"
	"celeryreach.example/celeryreach/tickets"
)

const (
	cancelFraction    = 0.6
	maxCancelDelay    = 8 * time.Millisecond
	postFraction      = 0.4
	idFraction        = 0.8
	ticketFraction    = 0.2
	maxAttempts       = 3
	attemptTimeout    = 10 * time.Second
	pauseAfterRefusal = 20 * time.Millisecond
	maxAnswerBytes    = 64 << 20
)

// callerRequest is one request of a caller. It may take several attempts.
type callerRequest struct {
	name, method, target, body, id, digest string
	// ticketHost is the only host that runs a request with this ticket; empty
	// if the request has no ticket.
	ticketHost string
}

// runCaller sends requests until the callers together have sent s.Requests.
func (s *Stress) runCaller(ctx context.Context, n int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	t := new(http.Transport)
	defer t.CloseIdleConnections()
	r := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	for ctx.Err() == nil && s.started.Add(1) <= int64(s.Requests) {
		s.sendWithRetries(ctx, t, r, s.newRequest(ctx, t, r))
	}
}

func (s *Stress) newRequest(ctx context.Context, t *http.Transport, r *rand.Rand) callerRequest {
	o := callerRequest{name: fmt.Sprintf("%016x", r.Uint64()), method: http.MethodGet}
	o.target = "/listings/" + o.name
	if r.Float64() < postFraction {
		o.method = http.MethodPost
		o.target = "/enrolments/" + o.name
		o.body = "child=" + o.name
		if r.Float64() < idFraction {
			o.id = "id-" + o.name
		}
		if r.Float64() < ticketFraction {
			o.id, o.ticketHost = s.fetchTicket(ctx, t, r)
		}
	}
	h := sha256.Sum256([]byte(o.body))
	o.digest = hex.EncodeToString(h[:])
	return o
}

// sendWithRetries sends a request. A request with an idempotency key is retried
// until it is answered or maxAttempts is reached.
func (s *Stress) sendWithRetries(ctx context.Context, t *http.Transport, r *rand.Rand, o callerRequest) {
	for a := range maxAttempts {
		i := fmt.Sprintf("%s-%d", o.name, a)
		e, c := s.attempt(ctx, t, r, o, i)
		c.id = i
		c.request = o.name
		c.atMostOnce = o.method == http.MethodPost
		s.checker.add(c, e)
		if c.reportedRan == outcome.RanNo {
			s.pause(ctx, pauseAfterRefusal)
		}
		if e == outcome.Answered || o.id == "" {
			return
		}
	}
}

func (s *Stress) attempt(ctx context.Context, t *http.Transport, r *rand.Rand, o callerRequest, id string) (string, attemptResult) {
	w := attemptTimeout
	if r.Float64() < cancelFraction {
		w = time.Duration(r.Int64N(int64(maxCancelDelay)))
	}
	x, f := context.WithTimeout(ctx, w)
	defer f()
	h := s.randomHost(r)
	if o.ticketHost != "" {
		h = o.ticketHost
	}
	q, err := http.NewRequestWithContext(x, o.method, "http://"+h+o.target, strings.NewReader(o.body))
	if err != nil {
		return "BadRequest", attemptResult{}
	}
	q.Header.Set("Authorization", "Bearer "+s.fleet.Keys[accountName])
	q.Header.Set(backendstandin.AttemptHeader, id)
	if o.id != "" {
		q.Header.Set("Idempotency-Key", o.id)
	}
	p, err := t.RoundTrip(q)
	if err != nil {
		return s.transportFailure(x, "NoAnswer"), attemptResult{}
	}
	defer p.Body.Close()
	b, err := responsebody.Read(p.Body, maxAnswerBytes)
	if err != nil {
		return s.transportFailure(x, "BrokenAnswer"), attemptResult{}
	}
	if err := responsehead.Check(p.StatusCode, p.Header); err != nil {
		return "Unreadable", attemptResult{responseError: err.Error()}
	}
	if p.StatusCode == http.StatusOK {
		return outcome.Answered, attemptResult{reportedRan: outcome.RanYes, responseError: checkResponse(string(b), o.method, o.target, o.digest)}
	}
	var v outcome.Outcome
	if err := codec.Unmarshal(b, &v); err != nil {
		return "Unreadable", attemptResult{responseError: fmt.Sprintf("status %d with a body that is not an outcome: %.200q", p.StatusCode, b)}
	}
	return v.Outcome + "-" + v.Ran, attemptResult{reportedRan: v.Ran}
}

func (s *Stress) transportFailure(ctx context.Context, how string) string {
	if ctx.Err() != nil {
		return outcome.Left
	}
	return how
}

// randomHost returns the caller address of any host, running or not, because
// callers may use outdated look-ups.
func (s *Stress) randomHost(r *rand.Rand) string {
	h := s.fleet.Hosts()
	return s.fleet.Settings(h[r.IntN(len(h))]).CallerAddress
}

// fetchTicket requests a ticket from a random host. On any failure it returns
// empty strings.
func (s *Stress) fetchTicket(ctx context.Context, t *http.Transport, r *rand.Rand) (id, host string) {
	x, f := context.WithTimeout(ctx, time.Second)
	defer f()
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+s.randomHost(r)+"/tickets", nil)
	if err != nil {
		return "", ""
	}
	q.Header.Set("Authorization", "Bearer "+s.fleet.Keys[accountName])
	p, err := t.RoundTrip(q)
	if err != nil {
		return "", ""
	}
	defer p.Body.Close()
	b, err := responsebody.Read(p.Body, maxAnswerBytes)
	var v tickets.Tickets
	if err != nil || codec.Unmarshal(b, &v) != nil || len(v.Tickets) == 0 {
		return "", ""
	}
	return v.Tickets[0], v.EntryHost
}
