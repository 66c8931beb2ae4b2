package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, host   string
	limit      time.Duration
	sent, done time.Time
	status     int    // 0 without a complete answer
	failure    string // why there is none
}

// record collects what was sent, answered and run.
type record struct {
	began time.Time

	mu       sync.Mutex
	notes    []string
	requests []*request
	runs     []*run
}

func newRecord() *record {
	return &record{began: time.Now()}
}

// note adds a line on what the test did.
func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, a...))
}

func (r *record) addRequest(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *record) addRun(v *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, v)
}

func (r *record) endRun(v *run, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v.end, v.complete = time.Now(), complete
}

// runsOf returns the runs of a request. The caller holds mu.
func (r *record) runsOf(id string) []*run {
	var l []*run
	for _, v := range r.runs {
		if v.id == id {
			l = append(l, v)
		}
	}
	return l
}

// write writes everything to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, n := range r.notes {
		fmt.Fprintln(&b, n)
	}
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	for _, q := range r.requests {
		fmt.Fprintf(&b, "request %s sent %.3f to %s done %.3f status %d %s\n", q.id, at(q.sent), q.host, at(q.done), q.status, q.failure)
		for _, v := range r.runsOf(q.id) {
			fmt.Fprintf(&b, "    run by %s from %.3f to %.3f complete %t", v.server, at(v.start), at(v.end), v.complete)
			if v.forwarded {
				fmt.Fprintf(&b, ", sent through %s", v.from)
			}
			fmt.Fprintln(&b)
		}
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
