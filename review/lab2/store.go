package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row as the platform's store encodes it.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: one table of rows, kept in memory.
type store struct {
	address string

	mu      sync.Mutex
	version uint64
	rows    map[string]storedRow // by table and key
	changed chan struct{}        // closed by the next change
	started time.Time

	// onFeed, if set, is called with each call of the feed.
	onFeed func(caller, table string, after uint64)
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rows: make(map[string]storedRow), changed: make(chan struct{}), started: time.Now()}
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", s.get)
	m.HandleFunc("GET /rows-feed", s.feed)
	m.HandleFunc("POST /rows-tx", s.commit)
	go func() { _ = http.Serve(l, m) }()
	return s, nil
}

// put writes a row as the operator or a backend server does.
func (s *store) put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // rows are plain data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storedRow{Table: table, Key: key, Value: b})
	return s.version
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storedRow{Table: table, Key: key, Removed: true})
}

func (s *store) write(r storedRow) {
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table that changed after a version, in the order of the changes.
func (s *store) after(table string, version uint64) []storedRow {
	l := []storedRow{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version {
			l = append(l, r)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Version < l[j].Version })
	return l
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storedRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "ver": s.version, "now_s": time.Since(s.started).Seconds(),
	})
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []storedRow{}
	for _, r := range s.after(v.Get("table"), 0) {
		if !r.Removed && r.Key >= v.Get("from") && (v.Get("target") == "" || r.Key < v.Get("target")) {
			l = append(l, r)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	s.answer(w, http.StatusOK, l)
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	n, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	d, _ := strconv.Atoi(v.Get("wait_ms"))
	end := time.After(time.Duration(d) * time.Millisecond)
	s.mu.Lock()
	if s.onFeed != nil {
		s.onFeed(q.RemoteAddr, v.Get("table"), n)
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		l, c := s.after(v.Get("table"), n), s.changed
		if len(l) > 0 {
			s.answer(w, http.StatusOK, l)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-c:
		case <-q.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, l)
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var t struct {
		Expected []storedRow `json:"expected_rev"`
		Writes   []storedRow `json:"writes"`
		Remove   []storedRow `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, rows := true, []storedRow{}
	for _, e := range t.Expected {
		r := s.rows[e.Table+"\x00"+e.Key]
		held = held && r.Version == e.Version
		if r.Version > 0 {
			rows = append(rows, r)
		}
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, rows)
		return
	}
	s.version++
	for _, r := range t.Writes {
		s.write(r)
	}
	s.answer(w, http.StatusOK, []storedRow{})
}
