package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workTime = 40 * time.Millisecond
	callTime = 45 * time.Second
)

// extra is the case of backend servers that send a second answer after a whole one.
type extra struct {
	trouble bool
	extras  atomic.Int64

	mu       sync.Mutex
	runs     map[string]int // by request id
	statuses map[string]int
}

func (e *extra) answered(id string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statuses[id] = status
}

// serve is how the backend servers treat a connection. A second answer arrives late, where the next
// answer is expected. It is that of a full server, without an id: it belongs to no request.
func (e *extra) serve(s *server, c net.Conn, r *bufio.Reader) {
	due := false // a second answer
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.answerHealth(c, q) {
			continue
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if due {
			e.extras.Add(1)
			s.deployment.note("server %s: second answer of an earlier request arrives where that of %s is expected", s.id, id)
			_, _ = io.WriteString(c, answer(http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1"}, ""))
		}
		due = e.trouble && s.isFaulty()
		if s.wrongInstance(q) {
			_, _ = io.WriteString(c, answer(http.StatusMisdirectedRequest, map[string]string{"Request-Id": id, "Instance-Id": s.id}, ""))
			continue
		}
		s.running.Add(1)
		e.mu.Lock()
		e.runs[id]++
		n := e.runs[id]
		e.mu.Unlock()
		s.deployment.note("server %s: runs %s %s", s.id, q.URL.Path, id)
		if n > 1 {
			s.deployment.note("server %s: request %s BROKEN: run %d of a request that may run once", s.id, id, n)
		}
		time.Sleep(workTime)
		s.running.Add(-1)
		if _, err := io.WriteString(c, s.result(id, strings.Repeat("x", 2000))); err != nil {
			return
		}
	}
}

func runExtra(record string, trouble bool) int {
	e := &extra{trouble: trouble, runs: make(map[string]int), statuses: make(map[string]int)}
	d, err := startDeployment(record, e.serve)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return cannotRun(err)
	}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { call(d, n, time.Now().Add(callTime), e.answered) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	twice, refused, ok := 0, 0, 0
	for id, s := range e.statuses {
		switch {
		case e.runs[id] > 1:
			twice++
		case e.runs[id] > 0 && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests):
			refused++
		}
		if s == http.StatusOK {
			ok++
		}
	}
	d.note("requests %d, served %d, second answers %d, run twice %d, refused though run %d", len(e.statuses), ok, e.extras.Load(), twice, refused)
	if ok < len(e.statuses)/2 || trouble && e.extras.Load() == 0 {
		return cannotRun(fmt.Errorf("%d of %d requests were served, beside %d second answers", ok, len(e.statuses), e.extras.Load()))
	}
	return verdict(int64(twice + refused))
}
