package edge_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/upstream"
)

// Header fields between hosts and backend servers here.
const (
	hostHeader    = "From-Host"
	backendHeader = "Answered-By"
	limitHeader   = "Takes-Per-Second"
)

// What hosts may send to a backend server in a window: limitOverage times what its
// limit allows, and limitSlack besides. A host counts from limitNotice after it passed
// on an answer with a limit.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitNotice  = 500 * time.Millisecond
)

// What hosts may send to a cold backend server in any second, which may begin before it
// turned cold.
const (
	coldRate    = 10
	coldOverage = 1.5
	coldSlack   = 5
	warmUp      = 3 * time.Second
)

// server stands in for a backend server that names limits and turns cold.
type server struct {
	backend backend.Backend
	http    http.Server
	done    chan error

	mu       sync.Mutex
	work     time.Duration
	value    string // the header, empty for none
	breaks   int    // of so many requests one breaks its connection
	limits   []named
	cold     []time.Time // when it turned cold
	arrivals []arrival
	told     map[string]time.Time // hosts, by when they first passed a limit on
}

// named is what the backend server takes from a moment on.
type named struct {
	at        time.Time
	perSecond float64
}

type arrival struct {
	at   time.Time
	host string
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: wall.Now(), host: q.Header.Get(hostHeader)})
	d := s.work
	broken := s.breaks > 0 && len(s.arrivals)%s.breaks == 0
	s.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	wall.Sleep(d)
	s.mu.Lock()
	v := s.value
	s.mu.Unlock()
	w.Header().Set(upstream.IDHeader, q.Header.Get(upstream.IDHeader))
	w.Header().Set(backendHeader, s.backend.Name)
	if v != "" {
		w.Header().Set(limitHeader, v)
	}
}

// name puts a value into the answers from now on. PerSecond is what that asks for.
func (s *server) name(value string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.limits = append(s.limits, named{at: wall.Now(), perSecond: perSecond})
}

// passedOn notes that a host passed an answer on.
func (s *server) passedOn(host string, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.told[host]; !ok && h.Get(limitHeader) != "" {
		s.told[host] = wall.Now()
	}
}

// arrived returns the requests in a second over the time before now.
func (s *server) arrived(d time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if wall.Since(a.at) < d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// excess describes the first window in which hosts that had been told sent more than
// the limits allow, empty if there is none. Windows count from contact after the first
// limit.
func (s *server) excess(contact time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limits) == 0 {
		return ""
	}
	var l []time.Time
	for _, a := range s.arrivals {
		if t, ok := s.told[a.host]; !ok || a.at.Before(t.Add(limitNotice)) {
			continue
		}
		l = append(l, a.at)
		for a.at.Sub(l[0]) >= limitWindow {
			l = l[1:]
		}
		m := limitOverage*s.allowed(a.at.Add(-limitWindow), a.at) + limitSlack
		if a.at.Sub(s.limits[0].at) >= contact && float64(len(l)) > m {
			return fmt.Sprintf("%s got %d requests in %s, %.1f are allowed; %s after its first limit",
				s.backend.Name, len(l), limitWindow, m, a.at.Sub(s.limits[0].at))
		}
	}
	return ""
}

// rush describes the first second in which it got more than a cold one may get.
func (s *server) rush() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for i, a := range s.arrivals {
		for a.at.Sub(s.arrivals[from].at) >= time.Second {
			from++
		}
		for _, c := range s.cold {
			if n := i - from + 1; n > coldRate*coldOverage+coldSlack && !a.at.Before(c) && a.at.Before(c.Add(warmUp)) {
				return fmt.Sprintf("%s got %d requests in a second, %s after it turned cold", s.backend.Name, n, a.at.Sub(c))
			}
		}
	}
	return ""
}

// allowed returns how many requests the limits allow between two moments.
func (s *server) allowed(from, to time.Time) float64 {
	n := 0.0
	v, t := math.Inf(1), from
	for _, c := range s.limits {
		if c.at.After(to) {
			break
		}
		if c.at.After(t) {
			n += v * c.at.Sub(t).Seconds()
			t = c.at
		}
		v = c.perSecond
	}
	if to.After(t) {
		n += v * to.Sub(t).Seconds()
	}
	return n
}
