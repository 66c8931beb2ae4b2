package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row of the platform's store on the wire.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool        `json:"has_more"`
	Version uint64      `json:"ver"`
	Now     float64     `json:"now_s"`
}

// store is a stand-in for the platform's store that answers soundly.
type store struct {
	mu      sync.Mutex
	rows    map[string]storedRow // by table and key
	log     []storedRow
	version uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]storedRow), changed: make(chan struct{}), began: time.Now()}
}

// put writes a row, or removes it if value is nil.
func (s *store) put(table, key string, value any) {
	r := storedRow{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err) // values are plain data
		}
		r.Value = b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storedRow{r})
}

// apply writes rows in one transaction. The caller holds mu.
func (s *store) apply(l []storedRow) {
	s.version++
	for _, r := range l {
		r.Version = s.version
		k := r.Table + "\x00" + r.Part + "\x00" + r.Key
		if r.Removed {
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/rows-get":
		s.get(w, q)
	case "/rows-feed":
		s.feed(w, q)
	case "/rows-tx":
		s.transact(w, q)
	default:
		http.NotFound(w, q)
	}
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	n, err := strconv.Atoi(v.Get("limit"))
	if err != nil {
		n = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for _, r := range s.rows {
		if r.Table == v.Get("table") && r.Part == v.Get("part") && r.Key >= v.Get("from") && (!v.Has("target") || r.Key < v.Get("target")) {
			a.Rows = append(a.Rows, r)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > n {
		a.Rows, a.HasMore = a.Rows[:n], true
	}
	reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(v.Get("wait_ms"))
	if err != nil {
		ms = 0
	}
	t := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		c, a := s.changed, s.answer()
		for _, r := range s.log {
			if r.Table == v.Get("table") && r.Version > after {
				a.Rows = append(a.Rows, r)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-c:
		case <-t:
			reply(w, http.StatusOK, a)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	var t struct {
		Expected []storedRow `json:"expected_rev"`
		Writes   []storedRow `json:"writes"`
		Remove   []storedRow `json:"remove"`
	}
	b, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(b, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for _, e := range t.Expected {
		r := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		a.Rows = append(a.Rows, r)
		if r.Version != e.Version {
			reply(w, http.StatusPreconditionFailed, a)
			return
		}
	}
	for i := range t.Remove {
		t.Remove[i].Removed = true
	}
	s.apply(append(t.Writes, t.Remove...))
	reply(w, http.StatusOK, s.answer())
}

// answer returns an answer without rows. The caller holds mu.
func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []storedRow{}, Version: s.version, Now: time.Since(s.began).Seconds()}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // answers are plain data
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // a failed write means that the host left
}
