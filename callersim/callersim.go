// Package callersim simulates callers for the demo: they look up entry hosts, send
// requests and often cancel them before the response.
package callersim

import (
	"context"
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/responsebody"
	"celeryreach.example/celeryreach/responsehead"
)

const (
	callersPerAccount = 4
	cancelFraction    = 0.6
	enrolFraction     = 0.1
	maxCancelDelay    = 30 * time.Millisecond
	meanPause         = 50 * time.Millisecond
	maxAnswerBytes    = 1 << 20
)

// NotRunPrefix is the prefix of outcomes for which the host guarantees that the
// request did not run.
const NotRunPrefix = "NotRun."

// Callersim simulates a group of callers.
type Callersim struct {
	// Clock is used for the pauses between requests.
	Clock clockwork.Clock
	// LookupURL is the look-up URL of one host.
	LookupURL string
	// Keys are the callers' keys by client account.
	Keys map[string]string
	// Counter counts the requests by outcome.
	Counter *counter.Counter
	// Seed seeds the callers' random choices.
	Seed uint64

	sent atomic.Uint64
}

// Sent returns the number of requests started.
func (s *Callersim) Sent() uint64 {
	return s.sent.Load()
}

// Run simulates the callers until ctx ends. Requests already started are
// completed first.
func (s *Callersim) Run(ctx context.Context) error {
	d := make(chan struct{})
	n := 0
	for a, k := range s.Keys {
		for range callersPerAccount {
			r := mathrand.New(mathrand.NewPCG(s.Seed, uint64(n)))
			go s.runCaller(ctx, a, k, r, d)
			n++
		}
	}
	for range n {
		<-d
	}
	return nil
}

func (s *Callersim) runCaller(ctx context.Context, account, key string, r *mathrand.Rand, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	t := new(http.Transport)
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t}
	for ctx.Err() == nil {
		s.sent.Add(1)
		// The request ignores the end of ctx, so that the demo does not
		// interrupt any request when it ends.
		s.Counter.Add(s.sendOne(context.WithoutCancel(ctx), c, account, key, r))
		select {
		case <-ctx.Done():
		case <-s.Clock.After(time.Duration(r.Int64N(int64(2 * meanPause)))):
		}
	}
}

func (s *Callersim) sendOne(ctx context.Context, c *http.Client, account, key string, r *mathrand.Rand) string {
	h, ok := s.lookup(ctx, c, account)
	if !ok {
		return "LookupFailed"
	}
	if r.Float64() < cancelFraction {
		x, f := context.WithTimeout(ctx, time.Duration(r.Int64N(int64(maxCancelDelay))))
		defer f()
		ctx = x
	}
	q, err := s.newRequest(ctx, h, key, r)
	if err != nil {
		return "BadRequest"
	}
	p, err := c.Do(q)
	if err != nil {
		return transportFailure(ctx)
	}
	defer p.Body.Close()
	b, err := responsebody.Read(p.Body, maxAnswerBytes)
	if err != nil {
		return transportFailure(ctx)
	}
	if responsehead.Check(p.StatusCode, p.Header) != nil {
		return "Unreadable"
	}
	if p.StatusCode == http.StatusOK {
		return outcome.Answered
	}
	var o outcome.Outcome
	if err := codec.Unmarshal(b, &o); err != nil {
		return "Unreadable"
	}
	if o.Ran == outcome.RanNo {
		return NotRunPrefix + o.Outcome
	}
	return o.Outcome
}

func (s *Callersim) lookup(ctx context.Context, c *http.Client, account string) (string, bool) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.LookupURL+"?region=lagos&service=Listings&account="+account, nil)
	if err != nil {
		return "", false
	}
	p, err := c.Do(q)
	if err != nil {
		return "", false
	}
	defer p.Body.Close()
	b, err := responsebody.Read(p.Body, maxAnswerBytes)
	if err != nil {
		return "", false
	}
	var a lookupanswer.Lookupanswer
	if err := codec.Unmarshal(b, &a); err != nil || len(a.EntryHosts) == 0 {
		return "", false
	}
	return a.EntryHosts[0], true
}

func (s *Callersim) newRequest(ctx context.Context, host, key string, r *mathrand.Rand) (*http.Request, error) {
	m, p, b := http.MethodGet, "/listings/1", io.Reader(nil)
	if r.Float64() < enrolFraction {
		m, p, b = http.MethodPost, "/enrolments/1", strings.NewReader("child=1")
	}
	q, err := http.NewRequestWithContext(ctx, m, "http://"+host+p, b)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	if m == http.MethodPost {
		q.Header.Set("Idempotency-Key", rand.Text())
	}
	return q, nil
}

func transportFailure(ctx context.Context) string {
	if ctx.Err() != nil {
		return outcome.Left
	}
	return "ConnectionBroken"
}
