package edge_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// longPath and longEnrolPath are the paths of requests that may last longer than a shutdown.
	longPath      = "/long/"
	longEnrolPath = longPath + "enrol/"
	longTimeout   = 12 * time.Second
	// longAnswer is the length of their answers.
	longAnswer = 40 << 10
	// slotWait is how long they may wait for a slot.
	slotWait = 50 * time.Millisecond
	// longSent is how long after the signal a request may be sent whose backend server is still at
	// work in the last sixth of graceTime and that therefore may be cut.
	longSent = 3 * time.Second
	lastWork = graceTime - graceTime/6
	// cancelTime is how long after a backend server began to answer another one may be at work.
	cancelTime = 100 * time.Millisecond
)

// What the backend server that a long request reaches first does.
const (
	firstRefuses = "refuses"
	firstBreaks  = "breaks"
)

// shutdowns are the long requests of a play, and what happened to the hosts.
type shutdowns struct {
	process func(host string) *process
	report  func(text string)

	mu        sync.Mutex
	requests  map[string]*longRequest
	told      []*process
	linksLost map[string][]period // by host
}

// longRequest is a request that may last longer than a shutdown, and how it went.
type longRequest struct {
	shutdowns *shutdowns
	id        string
	kind      string
	idle      time.Duration // how long its connection is open before it is sent
	time      time.Duration // to its deadline
	work      time.Duration
	first     string
	streams   bool // its answer begins in the middle of the work

	process               *process
	sent, ended, deadline time.Time
	outcome               outcome.Outcome
	whole                 bool // it has a whole answer of a backend server
	runs                  []*longRun
}

// longRun is the time of a long request at a backend server.
type longRun struct {
	process *process // of the host that sent it there
	period
	failed  bool      // by the backend server itself
	answers time.Time // when its answer began before the end of its work
}

func drawLongRequest(r *rand.Rand, id string) *longRequest {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a))) }
	q := &longRequest{id: id, kind: "long", work: between(200*time.Millisecond, 4*time.Second), streams: r.IntN(4) == 0}
	q.time = between(500*time.Millisecond, 3*time.Second)
	if r.IntN(2) == 0 {
		q.kind = "long-enrol"
	}
	if r.IntN(2) == 0 {
		q.time = between(3*time.Second, longTimeout)
	}
	if r.IntN(3) == 0 {
		q.idle = between(0, graceTime)
	}
	switch r.IntN(10) {
	case 0:
		q.first = firstRefuses
	case 1:
		q.first = firstBreaks
	case 2:
		q.work *= 2
	}
	return q
}

// sendLong opens a connection to a host if it accepts one, and sends a request on it.
func (w *deployment) sendLong(host string, d *longRequest) {
	d.process = w.process(host)
	if !d.process.accepts() {
		return
	}
	defer d.process.calls.Begin()()
	clock.Sleep(d.idle)
	if d.process.open.Err() != nil {
		return
	}
	k := kinds[d.kind]
	d.sent = clock.Now()
	d.shutdowns.add(d)
	p := k.path + d.id
	r := &request.Request{ID: d.id, Host: callerHost, Method: http.MethodGet, Target: p, Object: d.id, Header: make(http.Header), Deadline: d.sent.Add(d.time)}
	if k.body > 0 {
		r.Method, r.Length, r.Body = http.MethodPost, int64(k.body), bytes.NewReader(make([]byte, k.body))
		if err := r.BufferBody(maxBuffered); err != nil {
			panic(err) // the body is in memory
		}
	}
	r.Header.Set(sentHeader, strconv.FormatInt(d.sent.UnixNano(), 10))
	w.repeats.send()
	a := httptest.NewRecorder()
	o := serveLong(d.process, r, p, k.key, a)
	cut := d.process.open.Err() != nil // so that the caller is told nothing
	w.runs.end(d.id, !cut && o.Ran == outcome.RanNo)
	d.record(func() {
		d.ended, d.deadline, d.outcome = clock.Now(), r.Deadline, o
		d.whole = o.Outcome == outcome.Answered && a.Header().Get(upstream.IDHeader) == d.id && a.Body.Len() == longAnswer
	})
}

// serveLong serves a request until the end of the process.
func serveLong(p *process, r *request.Request, path, key string, a http.ResponseWriter) (o outcome.Outcome) {
	o.Outcome = outcome.Broken // unless Serve returns
	defer func() {
		v := recover()
		if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(v)
		}
	}()
	return p.edge.Gateway.Serve(p.open, r, path, key, a)
}

func (s *shutdowns) add(d *longRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[string]*longRequest)
	}
	s.requests[d.id] = d
}

// request returns the long request of that name, nil if there is none.
func (s *shutdowns) request(id string) *longRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// arrive records that the request has reached a backend server from a host, and returns what that
// does first.
func (d *longRequest) arrive(host string) (*longRun, string) {
	v := &longRun{process: d.shutdowns.process(host), period: period{from: clock.Now()}}
	d.shutdowns.mu.Lock()
	defer d.shutdowns.mu.Unlock()
	d.runs = append(d.runs, v)
	if len(d.runs) == 1 {
		return v, d.first
	}
	return v, ""
}

// record changes what is known of the request.
func (d *longRequest) record(f func()) {
	d.shutdowns.mu.Lock()
	defer d.shutdowns.mu.Unlock()
	f()
}

// serveLong serves a long request.
func (s *server) serveLong(w http.ResponseWriter, q *http.Request, d *longRequest) {
	h := q.Header.Get(hostHeader)
	v, first := d.arrive(h)
	defer d.record(func() { v.to = clock.Now() })
	if first == firstRefuses {
		d.record(func() { v.failed = true })
		s.refuse(w, refusing{value: "plain"}, h, d.id)
		return
	}
	s.runs.start(d.id, q)
	w.Header().Set(upstream.IDHeader, d.id)
	b := make([]byte, longAnswer)
	for i := range 2 {
		select {
		case <-clock.After(d.work / 2):
		case <-q.Context().Done():
			return
		}
		if d.streams && i == 0 {
			d.record(func() { v.answers = clock.Now() })
			_, _ = w.Write(b[:longAnswer/2]) // the host may be gone
			_ = http.NewResponseController(w).Flush()
			b = b[longAnswer/2:]
		}
		if first == firstBreaks {
			s.runs.breakOff(d.id)
			d.record(func() { v.failed = true })
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = w.Write(b)
}

// fault describes what must not have happened to a request of a leaving host, empty if nothing did.
func (d *longRequest) fault() string {
	t := d.process.told
	switch {
	case t.IsZero() || d.ended.Before(t) || d.whole:
		return ""
	case d.outcome.Outcome == outcome.Answered:
		return "its answer is not whole"
	case d.outcome.Outcome == outcome.Leaving && len(d.runs) == 0 && !d.linksWereLost(d.process) && d.isLate(t):
		return "it was not refused at once"
	case !d.ended.Before(d.deadline):
		return ""
	}
	for _, v := range d.runs {
		if !d.mayFail(v, t) {
			return fmt.Sprintf("lost; %s has it from %s to %s after the signal", v.process.edge.Self.Name, v.from.Sub(t), v.to.Sub(t))
		}
	}
	return ""
}

// mayFail reports whether the end of v doesn't fail a request to a host that was told to stop at t.
func (d *longRequest) mayFail(v *longRun, t time.Time) bool {
	return v.failed || d.wasCanceled(v) || d.mayCut(v, t) || d.mayCut(v, v.process.told) || d.linksWereLost(v.process)
}

// isLate reports whether the request waited although a host that was told to stop at t refused it.
func (d *longRequest) isLate(t time.Time) bool {
	if d.sent.Before(t) {
		return d.ended.Sub(d.sent) > slotWait
	}
	return d.ended.After(d.sent)
}

// wasCanceled reports whether a host ended the work of a backend server since another one had begun
// to answer.
func (d *longRequest) wasCanceled(v *longRun) bool {
	return slices.ContainsFunc(d.runs, func(f *longRun) bool {
		return f != v && !f.answers.IsZero() && f.answers.After(v.to.Add(-cancelTime)) && !f.answers.After(v.to)
	})
}

// mayCut reports whether a request may be cut at the end of a host with that signal, since its
// backend server takes too long.
func (d *longRequest) mayCut(v *longRun, told time.Time) bool {
	return !told.IsZero() && !d.sent.After(told.Add(longSent)) && !v.to.Before(told.Add(lastWork)) && v.from.Before(told.Add(graceTime))
}

// linksWereLost reports whether a host had lost its links while the request was under way.
func (d *longRequest) linksWereLost(p *process) bool {
	return slices.ContainsFunc(d.shutdowns.linksLost[p.edge.Self.Name], func(p period) bool {
		return !p.from.After(d.ended) && !p.to.Before(d.sent)
	})
}

// faults describes what must not have happened, and writes all of it to the output.
func (s *shutdowns) faults() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for _, p := range s.told {
		p.mu.Lock()
		if p.isLate() {
			l = append(l, fmt.Sprintf("%s ended after %s", p.edge.Self.Name, p.ended.Sub(p.told)))
		}
		p.mu.Unlock()
	}
	for _, d := range s.requests {
		if e := d.fault(); e != "" {
			l = append(l, fmt.Sprintf("%s %s at %s, sent %s after the signal, for %s, ended after %s: %s %s %q: %s",
				d.kind, d.id, d.process.edge.Self.Name, d.sent.Sub(d.process.told), d.time, d.ended.Sub(d.sent), d.outcome.Outcome, d.outcome.Ran, d.outcome.Message, e))
		}
	}
	if len(l) == 0 {
		return ""
	}
	slices.Sort(l)
	s.report(strings.Join(l, "\n"))
	return fmt.Sprintf("%d faults, such as: %s", len(l), l[0])
}
