package healthcheck

import (
	"bufio"
	"context"
	"io"
	"net"
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

// socketBytes is more than what the buffers of both ends of a connection hold.
const socketBytes = 8 << 20

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

// Guards against a backend server that answers probes with bytes without end, which fill the
// memory or keep the connection open.
func TestProbeBytesWithoutEnd(t *testing.T) {
	for _, v := range []struct {
		name, begin, again string
		healthy            bool
	}{
		{name: "no response", again: "no response in the protocol "},
		{name: "header field", begin: "HTTP/1.1 200 OK\r\nName: ", again: "value "},
		{name: "header", begin: "HTTP/1.1 200 OK\r\n", again: "Name: value\r\n"},
		{name: "informational responses", again: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{name: "body", begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", again: "2\r\nok\r\n", healthy: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			taken := make(chan int)
			go func() {
				n := 0
				defer func() { taken <- n }()
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				s := v.begin
				for {
					m, err := io.WriteString(c, s+strings.Repeat(v.again, 100))
					n += m
					if err != nil {
						return // the probe has closed the connection
					}
					s = ""
				}
			}()
			h := Check(t.Context(), backend.Backend{Address: l.Addr().String(), Health: "/health"})
			must.EqOp(t, v.healthy, h.Healthy)
			must.True(t, h.Reached)
			must.LessEq(t, maxHeaderBytes+socketBytes, <-taken)
		})
	}
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
