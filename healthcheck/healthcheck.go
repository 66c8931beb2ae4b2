// Package healthcheck probes the health of backend servers.
package healthcheck

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/health"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/responsehead"
)

// maxConcurrent bounds the number of concurrent probes. A probe costs a backend server
// about 6 ms, and backend servers that don't respond must not delay the probes of others.
const maxConcurrent = 8

// maxHeaderBytes is how much of the header of a response to a probe is read.
const maxHeaderBytes = 64 << 10

// Healthcheck probes backend servers at regular intervals, each time on a new connection:
// an existing connection may be dead although the backend server is healthy.
type Healthcheck struct {
	// Clock paces the probes.
	Clock clockwork.Clock
	// Interval is the pause between two rounds of probes.
	Interval time.Duration
	// Timeout bounds the duration of a probe.
	Timeout time.Duration
	// Backends returns the backend servers to probe in the next round.
	Backends func() []backend.Backend
	// Report is called with the result of each probe.
	Report func(b backend.Backend, h health.Health)
}

// Run probes the backend servers until ctx ends.
func (p *Healthcheck) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.After(p.Interval):
		}
	}
	return nil
}

func (p *Healthcheck) probeAll(ctx context.Context) {
	b := p.Backends()
	d := make(chan struct{}, len(b))
	s := make(chan struct{}, maxConcurrent)
	for _, v := range b {
		s <- struct{}{}
		go p.probe(ctx, v, func() {
			<-s
			d <- struct{}{}
		})
	}
	for range b {
		<-d
	}
}

func (p *Healthcheck) probe(ctx context.Context, b backend.Backend, done func()) {
	defer done()
	x, f := clockwork.WithTimeout(ctx, p.Clock, p.Timeout)
	defer f()
	h := Check(x, b)
	if ctx.Err() == nil {
		p.Report(b, h)
	}
}

// Check probes a backend server once. A backend server without a health path counts as
// healthy if a connection to it can be opened.
func Check(ctx context.Context, b backend.Backend) health.Health {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", b.Address)
	if err != nil {
		return health.Health{}
	}
	defer c.Close()
	if b.Health == "" {
		return health.Health{Reached: true, Healthy: true}
	}
	t := &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+b.Health, nil)
	if err != nil {
		return health.Health{Reached: true}
	}
	r, err := t.RoundTrip(q)
	if err != nil {
		return health.Health{Reached: true}
	}
	r.Body.Close()
	if responsehead.Check(r.StatusCode, r.Header) != nil {
		return health.Health{Reached: true}
	}
	return health.Health{Reached: true, Healthy: r.StatusCode < http.StatusBadRequest, Report: loadreport.Extract(r.Header)}
}
