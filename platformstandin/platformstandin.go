// Package platformstandin simulates the users' platform: an HTTP server with a
// transactional table, an object store and a delayed list of hosts, all in
// memory. It is for the demo and for tests, not for production.
package platformstandin

import (
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/platformfaults"
)

const (
	maxBodyBytes       = 256 << 20
	announcementExpiry = 10 * time.Second
)

// Platformstandin is the HTTP handler of the simulated platform.
type Platformstandin struct {
	// Clock measures the age of the entries in the host list.
	Clock clockwork.Clock
	// Table stores the rows.
	Table *memorytable.Memorytable

	mu          sync.Mutex
	faults      platformfaults.Platformfaults
	objects     map[string][]byte
	hosts       map[string]announcement
	listedHosts []member.Member
	listedAt    time.Time
}

// announcement is the last announcement of a host and its time.
type announcement struct {
	member member.Member
	at     time.Time
}

// SetFaults replaces the simulated faults.
func (s *Platformstandin) SetFaults(k platformfaults.Platformfaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = k
}

// ServeHTTP handles one call.
func (s *Platformstandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if r.URL.Path == "/knobs" {
		s.handleFaults(w, b)
		return
	}
	s.mu.Lock()
	k := s.faults
	s.mu.Unlock()
	if k.Delay > 0 {
		// The end of the caller's request does not end the delay: a slow write
		// takes effect after the caller has given up.
		s.Clock.Sleep(k.Delay)
	}
	if k.Outage {
		panic(http.ErrAbortHandler)
	}
	s.route(w, r, b)
}

func (s *Platformstandin) route(w http.ResponseWriter, r *http.Request, b []byte) {
	switch {
	case r.URL.Path == "/rows":
		reply(w, s.Table.Read(r.URL.Query().Get("key")))
	case r.URL.Path == "/scan":
		reply(w, s.Table.Scan(r.URL.Query().Get("prefix")))
	case r.URL.Path == "/commit":
		s.commit(w, b)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		s.serveObject(w, r, b)
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		reply(w, s.listHosts())
	case r.URL.Path == "/hosts":
		s.announce(w, b)
	default:
		http.NotFound(w, r)
	}
}

func (s *Platformstandin) handleFaults(w http.ResponseWriter, b []byte) {
	var k platformfaults.Platformfaults
	if err := codec.Unmarshal(b, &k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(k)
}

func (s *Platformstandin) commit(w http.ResponseWriter, b []byte) {
	var c commit.Commit
	if err := codec.Unmarshal(b, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consume(&s.faults.LoseCommits) {
		panic(http.ErrAbortHandler)
	}
	ok := s.Table.Commit(c)
	if s.consume(&s.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	reply(w, ok)
}

// consume decrements a fault counter and reports whether it was above zero.
func (s *Platformstandin) consume(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Platformstandin) serveObject(w http.ResponseWriter, r *http.Request, b []byte) {
	n := strings.TrimPrefix(r.URL.Path, "/objects/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPut {
		if s.objects == nil {
			s.objects = make(map[string][]byte)
		}
		s.objects[n] = b
		return
	}
	o, ok := s.objects[n]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(o) // a failed write means that the client left
}

func (s *Platformstandin) announce(w http.ResponseWriter, b []byte) {
	var m member.Member
	if err := codec.Unmarshal(b, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[string]announcement)
	}
	s.hosts[m.Name] = announcement{member: m, at: s.Clock.Now()}
}

// listHosts returns the hosts announced recently. With ListLag set, it returns
// an earlier result until that result is older than ListLag.
func (s *Platformstandin) listHosts() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Clock.Now()
	if s.faults.ListLag > 0 && n.Sub(s.listedAt) < s.faults.ListLag {
		return s.listedHosts
	}
	s.listedHosts = []member.Member{}
	s.listedAt = n
	for k, h := range s.hosts {
		if n.Sub(h.at) > announcementExpiry {
			delete(s.hosts, k)
			continue
		}
		s.listedHosts = append(s.listedHosts, h.member)
	}
	sort.Slice(s.listedHosts, func(i, j int) bool { return s.listedHosts[i].Name < s.listedHosts[j].Name })
	return s.listedHosts
}

func reply(w http.ResponseWriter, v any) {
	b, err := codec.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // a failed write means that the client left
}
