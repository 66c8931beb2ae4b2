package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// run is one request at which a backend server worked.
type run struct {
	id, server string
	start, end time.Time
	complete   bool  // the work was done and the answer handed over
	from       *host // the host that sent it, nil if that is not known
	forwarded  bool  // a client had sent it to another host
}

// server is a stand-in for a backend server.
type server struct {
	name, service string
	slots         int
	work          time.Duration
	record        *record
	address       string
	// sender returns the host that has a connection from an address; nil if nobody asks.
	sender func(address string) *host

	http    *http.Server
	running atomic.Int32
	queue   chan struct{} // one token a slot
}

func newServer(name, service string, slots int, work time.Duration, r *record) *server {
	return &server{name: name, service: service, slots: slots, work: work, record: r, queue: make(chan struct{}, slots)}
}

// open accepts connections at an address.
func (s *server) open(address string) error {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.http = address, &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(n) }(s.http) // until cut
	return nil
}

// cut resets the connections of the server, and refuses new ones until open.
func (s *server) cut() {
	_ = s.http.Close() // the error says that a connection was closed already
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
	if s.sender != nil {
		r.from = s.sender(q.RemoteAddr)
	}
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
