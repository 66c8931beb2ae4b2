package healthcheck

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/health"
	"celeryreach.example/celeryreach/loadreport"
)

// Guards against a probe that accepts an invalid load, or that confuses a backend
// server that is gone, one that is unhealthy and one that drains: the balancer acts
// differently on each of the three.
func TestCheck(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ill":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/leaves":
			w.Header().Set(loadreport.DrainingHeader, "yes")
		default:
			w.Header().Set(loadreport.LoadHeader, strings.TrimPrefix(r.URL.Path, "/"))
		}
	}))
	defer s.Close()
	a := s.Listener.Addr().String()
	well := health.Health{Reached: true, Healthy: true}
	loaded := func(f float64) health.Health {
		return health.Health{Reached: true, Healthy: true, Report: loadreport.Loadreport{Load: f, Known: true}}
	}
	for p, h := range map[string]health.Health{
		"": well, "/ill": {Reached: true}, "/leaves": {Reached: true, Healthy: true, Report: loadreport.Loadreport{Draining: true}},
		"/0.25": loaded(0.25), "/-3": loaded(0), "/1e300": loaded(1), "/NaN": well, "/much": well,
	} {
		must.Eq(t, h, Check(t.Context(), backend.Backend{Address: a, Health: p}), must.Sprint(p))
	}
	s.Close()
	must.Eq(t, health.Health{}, Check(t.Context(), backend.Backend{Address: a}))
}

// One backend server accepts the connection and doesn't answer. Its probe must end at the
// timeout as unhealthy and must not delay the probes of others.
func TestProbeTimeout(t *testing.T) {
	quiet := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/quiet" {
			close(quiet)
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	a := s.Listener.Addr().String()
	c := clockwork.NewFakeClock()
	type seen struct {
		path   string
		health health.Health
	}
	got := make(chan seen, 2)
	p := &Healthcheck{
		Clock: c, Interval: time.Minute, Timeout: time.Second,
		Backends: func() []backend.Backend {
			return []backend.Backend{{Address: a, Health: "/quiet"}, {Address: a, Health: "/well"}}
		},
		Report: func(b backend.Backend, h health.Health) { got <- seen{b.Health, h} },
	}
	x, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- p.Run(x) }()
	must.Eq(t, seen{"/well", health.Health{Reached: true, Healthy: true}}, <-got)
	<-quiet
	c.Advance(time.Second)
	must.Eq(t, seen{"/quiet", health.Health{Reached: true}}, <-got)
	f()
	must.NoError(t, <-d)
}
