// Package backendstandin stands in for a backend server. It is for the demo
// and for tests, never for production.
package backendstandin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/upstream"
)

// Backendstandin runs requests on a fixed number of slots, sheds what exceeds
// them, and records each run by the request's id.
type Backendstandin struct {
	// Clock paces the work.
	Clock clockwork.Clock
	// Name is told in answers.
	Name string
	// Slots is how many requests run at once.
	Slots int
	// Work is how long a request runs on a warm backend server.
	Work time.Duration
	// ColdFor is how long after the first request it is cold; a cold request
	// takes twice the time.
	ColdFor time.Duration

	busy  atomic.Int64
	mu    sync.Mutex
	first time.Time
	runs  map[string]int
}

// ServeHTTP runs one request.
func (b *Backendstandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(upstream.IDHeader, r.Header.Get(upstream.IDHeader))
	if b.busy.Add(1) > int64(b.Slots) {
		b.busy.Add(-1)
		w.Header().Set("X-Not-Run", "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.busy.Add(-1)
	// A request counts as run from here on, whoever still waits for it.
	b.record(r)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-b.Clock.After(b.work()):
	}
	a := []byte(b.Name + " " + r.Method + " " + r.URL.RequestURI() + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(a)))
	_, _ = w.Write(a) // a failed write means that the client left
}

// Runs returns how often each id was run.
func (b *Backendstandin) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := make(map[string]int, len(b.runs))
	for k, v := range b.runs {
		r[k] = v
	}
	return r
}

func (b *Backendstandin) record(r *http.Request) {
	k := r.Header.Get("Idempotency-Key")
	if k == "" {
		k = r.Header.Get(upstream.IDHeader)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
		b.first = b.Clock.Now()
	}
	b.runs[k]++
}

func (b *Backendstandin) work() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Clock.Since(b.first) < b.ColdFor {
		return 2 * b.Work
	}
	return b.Work
}
