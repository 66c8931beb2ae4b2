// Package standin stands in for the users' platform: an HTTP server with a
// transactional table, an object store and a lagging list of hosts, all in
// memory. It is for the demo and for tests, never for production.
package standin

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
	"celeryreach.example/celeryreach/knobs"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/table"
)

const (
	maxBytes   = 256 << 20
	listExpiry = 10 * time.Second
)

// Standin is the handler of the stand-in.
type Standin struct {
	// Clock ages the host list.
	Clock clockwork.Clock
	// Table holds the rows.
	Table *table.Table

	mu      sync.Mutex
	knobs   knobs.Knobs
	objects map[string][]byte
	hosts   map[string]announced
	shown   []member.Member
	shownAt time.Time
}

type announced struct {
	member member.Member
	at     time.Time
}

// Set changes the faults that are played.
func (s *Standin) Set(k knobs.Knobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = k
}

// ServeHTTP serves one call.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return
	}
	if r.URL.Path == "/knobs" {
		s.knob(w, b)
		return
	}
	s.mu.Lock()
	k := s.knobs
	s.mu.Unlock()
	if k.Delay > 0 {
		// A caller that gives up does not end the wait: a slow write takes
		// effect when nobody expects it any more.
		s.Clock.Sleep(k.Delay)
	}
	if k.Outage {
		panic(http.ErrAbortHandler)
	}
	s.route(w, r, b)
}

func (s *Standin) route(w http.ResponseWriter, r *http.Request, b []byte) {
	switch {
	case r.URL.Path == "/rows":
		reply(w, s.Table.Read(r.URL.Query().Get("key")))
	case r.URL.Path == "/scan":
		reply(w, s.Table.Scan(r.URL.Query().Get("prefix")))
	case r.URL.Path == "/commit":
		s.commit(w, b)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		s.object(w, r, b)
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		reply(w, s.list())
	case r.URL.Path == "/hosts":
		s.announce(w, b)
	default:
		http.NotFound(w, r)
	}
}

func (s *Standin) knob(w http.ResponseWriter, b []byte) {
	var k knobs.Knobs
	if err := codec.Unmarshal(b, &k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(k)
}

func (s *Standin) commit(w http.ResponseWriter, b []byte) {
	var c commit.Commit
	if err := codec.Unmarshal(b, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.spend(&s.knobs.LoseCommits) {
		panic(http.ErrAbortHandler)
	}
	ok := s.Table.Commit(c)
	if s.spend(&s.knobs.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	reply(w, ok)
}

// spend takes one from a counter of the knobs and reports whether there was
// one.
func (s *Standin) spend(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Standin) object(w http.ResponseWriter, r *http.Request, b []byte) {
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

func (s *Standin) announce(w http.ResponseWriter, b []byte) {
	var m member.Member
	if err := codec.Unmarshal(b, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[string]announced)
	}
	s.hosts[m.Name] = announced{member: m, at: s.Clock.Now()}
}

func (s *Standin) list() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Clock.Now()
	if s.knobs.ListLag > 0 && n.Sub(s.shownAt) < s.knobs.ListLag {
		return s.shown
	}
	s.shown = []member.Member{}
	s.shownAt = n
	for k, h := range s.hosts {
		if n.Sub(h.at) > listExpiry {
			delete(s.hosts, k)
			continue
		}
		s.shown = append(s.shown, h.member)
	}
	sort.Slice(s.shown, func(i, j int) bool { return s.shown[i].Name < s.shown[j].Name })
	return s.shown
}

func reply(w http.ResponseWriter, v any) {
	b, err := codec.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // a failed write means that the client left
}
