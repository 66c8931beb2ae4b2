// Package healthcheck asks backend servers for their health.
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
)

// concurrent bounds the probes under way. A probe costs a backend server about
// 6 ms, and silent ones must not hold up the others.
const concurrent = 8

// Healthcheck asks at regular intervals, each time on a new connection: an old one
// may have gone silent while the backend server is well.
type Healthcheck struct {
	// Clock paces the probes.
	Clock clockwork.Clock
	// Interval is the time between two probes of a backend server.
	Interval time.Duration
	// Timeout bounds a probe.
	Timeout time.Duration
	// Backends returns those to probe now.
	Backends func() []backend.Backend
	// Report is told what a probe saw.
	Report func(b backend.Backend, h health.Health)
}

// Run probes until ctx ends.
func (p *Healthcheck) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.round(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.After(p.Interval):
		}
	}
	return nil
}

func (p *Healthcheck) round(ctx context.Context) {
	b := p.Backends()
	d := make(chan struct{}, len(b))
	s := make(chan struct{}, concurrent)
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

// Check probes once. Without a health path an open connection is all it asks.
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
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return c, nil },
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
	return health.Health{Reached: true, Healthy: r.StatusCode < http.StatusBadRequest, Report: loadreport.Take(r.Header)}
}
