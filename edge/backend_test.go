package edge_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/upstream"
)

// Header fields between hosts and backend servers in these tests.
const (
	hostHeader    = "From-Host"
	backendHeader = "Answered-By"
	sentHeader    = "Sent-Nanoseconds" // when the caller sent the request, since the Unix epoch
	limitHeader   = "Takes-Per-Second"
	leavingHeader = "Leaves"
)

// Bound on the requests that hosts may send to a backend server in a window: limitOverage
// times the number that its limit allows, plus limitSlack. A host's requests count from
// limitGracePeriod after it first relayed a response with a limit.
const (
	limitWindow      = 4 * time.Second
	limitOverage     = 1.5
	limitSlack       = 5
	limitGracePeriod = 500 * time.Millisecond
)

// Bound on the requests that hosts may send to a cold backend server in any second,
// including seconds that begin before it turned cold.
const (
	coldRate    = 10
	coldOverage = 1.5
	coldSlack   = 5
	warmUp      = 3 * time.Second
)

// A response without end is sent as endlessBytes each endlessPause.
const (
	endlessBytes = 16 << 10
	endlessPause = 5 * time.Millisecond
)

// server is a fake backend server that states limits, refuses requests, can turn cold and
// can leave.
type server struct {
	backend backend.Backend
	http    http.Server
	done    chan error
	runs    *runs
	links   *links
	// attempts is shared by all backend servers.
	attempts *attempts
	homes    *homes // nil unless the homes of requests are checked
	endings  *endings
	repeats  *repeats
	// shutdowns has the long requests.
	shutdowns *shutdowns
	stop      func(d time.Duration, silent bool) // ends the process for that time
	random    func() float64

	mu       sync.Mutex
	work     time.Duration
	value    string // of the limit header, empty for none
	breaks   int    // one of this many requests breaks its connection
	limits   []limitChange
	cold     []time.Time // the times at which it turned cold
	arrivals []arrival
	notified map[string]time.Time // when each host first relayed a limit
	leaving  departure
	dead     bool // another process has its address; requests on its connections reach nothing

	movedAt   time.Time // when it last moved from another region
	movedFrom string

	refusing   *refusing              // nil if it serves requests
	stalls     time.Duration          // breaks the connections of requests after that time, if not zero
	wanted     map[string][]period    // the times for which it wants no requests, by host
	recovered  map[string]time.Time   // when it last served a request sent after these times, by host
	running    map[string][]time.Time // arrivals of active requests since these times, by host
	concurrent string                 // describes the first two that ran at the same time
}

// limitChange is the limit that the backend server accepts from a point in time on.
type limitChange struct {
	at        time.Time
	perSecond float64
}

type arrival struct {
	at   time.Time
	host string
}

func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h, n := q.Header.Get(hostHeader), clock.Now()
	s.attempts.arrive(q.Header.Get(upstream.IDHeader), q.Header.Get(attemptHeader), q.URL.Path, s.backend.Name)
	s.homes.arrive(s, q)
	s.endings.arrive(q.URL.Path, h)
	s.repeats.arrive(q.Header.Get(upstream.IDHeader))
	s.mu.Lock()
	s.recordStart(h)
	s.leaving.countArrival(s.backend.Name, q.Header)
	d, f, stalls, b, g := s.work, s.refusing, s.stalls, s.backend, s.regions()
	broken := s.breaks > 0 && len(s.arrivals)%s.breaks == 0
	s.mu.Unlock()
	id := q.Header.Get(upstream.IDHeader)
	s.runs.arrive(id, q, b, g)
	defer func() { s.recordEnd(h, n, f == nil && !broken) }()
	if f != nil {
		s.refuse(w, *f, h, id)
		return
	}
	if stalls > 0 {
		clock.Sleep(stalls)
		broken = true
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return // the request is not complete, and does not run
	}
	if v := s.shutdowns.request(id); v != nil {
		s.serveLong(w, q, v)
		return
	}
	s.runs.start(id, q)
	if broken {
		s.runs.breakOff(id)
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(q.URL.Path, endingPart) {
		clock.Sleep(d)
		if v, ok := s.endings.end(q.URL.Path, s.backend.Name, s.random()); ok {
			s.stop(v, s.endings.silent)
			panic(http.ErrAbortHandler)
		}
	}
	if strings.HasPrefix(q.URL.Path, endlessPath) {
		s.sendEndless(w, q, id, n)
		return
	}
	select {
	case <-clock.After(workFor(q.URL.Path, d)):
	case <-q.Context().Done(): // the host has closed the connection
		return
	}
	// A link that hangs holds up the news that the caller has left.
	if _, v := s.links.gate(link{h, s.backend.Address}); v != linkHangs {
		s.runs.finish(id)
	}
	s.mu.Lock()
	v, l := s.value, s.leaving
	s.mu.Unlock()
	w.Header().Set(upstream.IDHeader, id)
	w.Header().Set(backendHeader, s.backend.Name)
	if v != "" {
		w.Header().Set(limitHeader, v)
	}
	l.answer(w)
}

// workFor returns the duration of a request; most have that of their backend server.
func workFor(path string, d time.Duration) time.Duration {
	if strings.HasPrefix(path, slowPath) {
		return slowWork
	}
	return d
}

// sendEndless sends a response without end until the host closes the connection.
func (s *server) sendEndless(w http.ResponseWriter, q *http.Request, id string, began time.Time) {
	w.Header().Set(upstream.IDHeader, id)
	b := make([]byte, endlessBytes)
	for clock.Since(began) < requestTimeout+goneTime {
		if _, err := w.Write(b); err != nil || q.Context().Err() != nil {
			return
		}
		clock.Sleep(endlessPause)
	}
	// A link that hangs holds up the news that the host has closed the connection.
	if _, v := s.links.gate(link{q.Header.Get(hostHeader), s.backend.Address}); v != linkHangs {
		s.runs.endless(id)
	}
}

// regions returns the regions in which hosts may believe that it stands.
func (s *server) regions() []string {
	if clock.Since(s.movedAt) < applyTime {
		return []string{s.movedFrom, s.backend.Region}
	}
	return []string{s.backend.Region}
}

// setLimit sets the limit header of future responses to value. perSecond is the limit
// in requests per second that value requests.
func (s *server) setLimit(value string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.limits = append(s.limits, limitChange{at: clock.Now(), perSecond: perSecond})
}

// markNotified records that a host relayed a response.
func (s *server) markNotified(host string, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.markRelayed(host, h)
	if _, ok := s.notified[host]; !ok && h.Get(limitHeader) != "" {
		s.notified[host] = clock.Now()
	}
}

// arrivalRate returns the requests received per second during the last d.
func (s *server) arrivalRate(d time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if clock.Since(a.at) < d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// excess describes the first window in which notified hosts sent more than the limits
// allow, empty if there is none. Windows that end less than the duration contact after
// the first limit was set are not checked.
func (s *server) excess(contact time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limits) == 0 {
		return ""
	}
	var l []time.Time
	for _, a := range s.arrivals {
		if t, ok := s.notified[a.host]; !ok || a.at.Before(t.Add(limitGracePeriod)) {
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

// coldExcess describes the first second in which the server received more requests than a
// cold backend server is allowed to receive, empty if there is none.
func (s *server) coldExcess() string {
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

// allowed returns how many requests the limits allow between two points in time.
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
