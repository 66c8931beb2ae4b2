package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// run is one request at which a backend server worked.
type run struct {
	id, server string
	start, end time.Time
	complete   bool // the work was done and the answer handed over
}

// server is a stand-in for a backend server.
type server struct {
	name   string
	slots  int
	work   time.Duration
	record *record

	running atomic.Int32
	queue   chan struct{} // one token a slot
}

func newServer(name string, slots int, work time.Duration, r *record) *server {
	return &server{name: name, slots: slots, work: work, record: r, queue: make(chan struct{}, slots)}
}

// ServeHTTP runs a request, unless it is meant for another server.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.name)
		return
	}
	if v := q.Header.Get("Expect-Instance"); v != "" && v != s.name {
		w.Header().Set("Instance-Id", s.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	select {
	case s.queue <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-s.queue }()
	n := s.running.Add(1)
	defer s.running.Add(-1)
	r := &run{id: id, server: s.name, start: time.Now()}
	s.record.addRun(r)
	select {
	case <-time.After(s.work):
	case <-q.Context().Done(): // drops a request whose connection closes
		s.record.endRun(r, false)
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+s.name+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", n-1, s.slots))
	s.record.endRun(r, true)
	_, _ = io.WriteString(w, "done "+id) // a failed write means that the host left
}
