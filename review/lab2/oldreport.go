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
	drainTime = 2500 * time.Millisecond // drain_s of the settings
	// A backend server serves for leaveTime after its draining was accepted.
	leaveTime = 9 * time.Second
	// lateAt is when the store performs a report that it did not answer, after the draining was
	// accepted. The report was sent one beat before that, so it is done 4.7 s late, of 1 to 6 s.
	lateAt   = 3200 * time.Millisecond
	nextTime = 12 * time.Second
)

// oldReport is the case of a status report that the store performs late, after a newer one.
type oldReport struct {
	trouble bool
	late    atomic.Int64 // requests that reached a server later than drain_s after its ack
	served  atomic.Int64

	mu       sync.Mutex
	accepted map[string]time.Time // when the draining of a server was accepted
}

func (o *oldReport) serve(s *server, c net.Conn, r *bufio.Reader) {
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.answerHealth(c, q) {
			continue
		}
		n := time.Now()
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if s.wrongInstance(q) {
			_, _ = io.WriteString(c, answer(http.StatusMisdirectedRequest, map[string]string{"Request-Id": id, "Instance-Id": s.id}, ""))
			continue
		}
		o.mu.Lock()
		t, ok := o.accepted[s.id]
		o.mu.Unlock()
		s.deployment.note("server %s: runs %s %s", s.id, q.URL.Path, id)
		if ok && n.Sub(t) > drainTime {
			o.late.Add(1)
			s.deployment.note("server %s: request %s BROKEN: it arrives %.2f s after the draining was accepted", s.id, id, n.Sub(t).Seconds())
		}
		s.running.Add(1)
		time.Sleep(workTime)
		s.running.Add(-1)
		if _, err := io.WriteString(c, s.result(id, strings.Repeat("x", 2000))); err != nil {
			return
		}
	}
}

// drain empties a server. Before, the store does not answer one of its reports, and performs it
// later if there is trouble.
func (o *oldReport) drain(d *deployment, s *server) {
	s.silent.Store(true)
	old := s.report()
	d.note("store: report of %s has no answer: %v", s.id, old)
	time.Sleep(beat)
	s.draining.Store(true)
	v := s.report()
	n := d.store.put("servers", s.id, v)
	t := time.Now()
	o.mu.Lock()
	o.accepted[s.id] = t
	o.mu.Unlock()
	d.note("store: accepts version %d of %s: %v", n, s.id, v)
	d.awaitFeeds(s.id, n)
	late := time.After(lateAt)
	next := time.NewTicker(beat)
	defer next.Stop()
	for end := time.After(leaveTime); ; {
		select {
		case <-next.C:
			d.store.put("servers", s.id, s.report())
		case <-late:
			if o.trouble {
				d.note("store: performs the old report of %s as version %d", s.id, d.store.put("servers", s.id, old))
			}
		case <-end:
			d.store.remove("servers", s.id)
			d.note("server %s has left", s.id)
			return
		}
	}
}

func runOldReport(record string, trouble bool) int {
	o := &oldReport{trouble: trouble, accepted: make(map[string]time.Time)}
	d, err := startDeployment(record, o.serve)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return cannotRun(err)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(2*nextTime + 2*time.Second)
	for n := range callers {
		wg.Go(func() {
			call(d, n, end, func(_ string, status int) {
				if status == http.StatusOK {
					o.served.Add(1)
				}
			})
		})
	}
	for _, s := range d.servers[:2] {
		t := time.Now()
		o.drain(d, s)
		time.Sleep(nextTime - time.Since(t))
	}
	wg.Wait()
	d.note("requests served %d, later than drain_s %d", o.served.Load(), o.late.Load())
	if o.served.Load() == 0 {
		return cannotRun(fmt.Errorf("no request was served"))
	}
	return verdict(o.late.Load())
}
