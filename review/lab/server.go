package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	waiting atomic.Int32
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
	x, f := context.WithTimeout(q.Context(), timeLeft(q))
	defer f()
	if s.waiting.Add(1) > int32(queuePerSlot*s.slots) {
		s.waiting.Add(-1)
		shed(w)
		return
	}
	select {
	case s.queue <- struct{}{}:
		s.waiting.Add(-1)
	case <-x.Done():
		s.waiting.Add(-1)
		shed(w)
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
	case <-x.Done():
		s.record.endRun(r, false)
		if q.Context().Err() == nil { // the time limit; else the connection has closed
			s.sign(w, id)
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	s.sign(w, id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", n-1, s.slots))
	s.record.endRun(r, true)
	_, _ = io.WriteString(w, "done "+id) // a failed write means that the host left
}

// queuePerSlot is how many requests may wait for each slot, as on the site hppc-reach.
const queuePerSlot = 3

// timeLeft returns for how long the sender of a request waits.
func timeLeft(q *http.Request) time.Duration {
	ms, err := strconv.ParseInt(q.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// shed refuses a request that was not run.
func shed(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sign marks an answer as that of the server.
func (s *server) sign(w http.ResponseWriter, id string) {
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+s.name+"."+id)
}
