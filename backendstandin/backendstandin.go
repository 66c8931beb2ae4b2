// Package backendstandin stands in for a backend server. It is for the demo
// and for tests, never for production.
package backendstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backendknobs"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/upstream"
	"celeryreach.example/celeryreach/whole"
)

// JudgeHeader names one attempt of a caller's, so that the runs of repeated
// attempts are told apart.
const JudgeHeader = "X-Judge-Id"

const (
	coldFactor = 10
	maxKnobs   = 64 << 10
)

// Backendstandin runs requests on a fixed number of slots, sheds what exceeds
// them, and records each run by the request's id. It is the judge of what ran.
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
	knobs backendknobs.Backendknobs
	first time.Time
	runs  map[string]int
	seen  []string
}

// Set changes the faults that are played.
func (b *Backendstandin) Set(k backendknobs.Backendknobs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.knobs = k
}

// ServeHTTP runs one request.
func (b *Backendstandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/knobs":
		b.knob(w, r)
		return
	case "/health":
		b.health(w)
		return
	case "/runs":
		b.tell(w)
		return
	}
	k := b.take()
	w.Header().Set(upstream.IDHeader, r.Header.Get(upstream.IDHeader))
	n := b.busy.Add(1)
	defer b.busy.Add(-1)
	w.Header().Set(loadreport.LoadHeader, strconv.FormatFloat(float64(n)/float64(b.Slots), 'f', 2, 64))
	if k.Drain {
		w.Header().Set(loadreport.DrainingHeader, "yes")
	}
	if n > int64(b.Slots) || k.Shed || k.Drain {
		w.Header().Set(whole.NotRunHeader, "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	if k.Silent {
		// The body is read by now, so the server sees the client leave.
		<-r.Context().Done()
		return
	}
	// A request counts as run from here on, whoever still waits for it.
	b.record(r)
	select {
	case <-r.Context().Done():
		return
	case <-b.Clock.After(b.work(k)):
	}
	b.answer(w, r, k, hex.EncodeToString(h.Sum(nil)))
}

// tell writes the judge's counts, for tests with processes.
func (b *Backendstandin) tell(w http.ResponseWriter) {
	v, err := codec.Marshal(b.Runs())
	if err != nil {
		panic(err) // counts are JSON
	}
	_, _ = w.Write(v) // a failed write means that the client left
}

// Busy returns how many requests run or are being refused now.
func (b *Backendstandin) Busy() int {
	return int(b.busy.Load())
}

// Runs returns how often each id was run.
func (b *Backendstandin) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// Seen returns every header value, target and method that was received, so
// that a test can look for keys.
func (b *Backendstandin) Seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.seen...)
}

// Body returns the answer to a request: it names the request, so that a caller
// can tell whose answer it got and whether it is whole.
func Body(name, method, target, digest string, n int) string {
	s := fmt.Sprintf("%s %s %s %s\n", name, method, target, digest)
	return s + strings.Repeat("-", max(0, n-len(s)-1)) + "."
}

func (b *Backendstandin) answer(w http.ResponseWriter, r *http.Request, k backendknobs.Backendknobs, digest string) {
	a := Body(b.Name, r.Method, r.URL.RequestURI(), digest, k.Bytes)
	switch {
	case k.Mute:
		<-r.Context().Done()
		return
	case k.Close:
		panic(http.ErrAbortHandler)
	case k.WrongID:
		w.Header().Set(upstream.IDHeader, "another")
	case k.Unsized:
		b.raw(w, a)
		return
	}
	n := len(a)
	if k.Short || k.Cut {
		a = a[:n/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = io.WriteString(w, a) // a failed write means that the client left
	if k.Cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// raw answers without length or chunks.
func (b *Backendstandin) raw(w http.ResponseWriter, a string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n%s", upstream.IDHeader, w.Header().Get(upstream.IDHeader), a)
}

func (b *Backendstandin) knob(w http.ResponseWriter, r *http.Request) {
	a, err := io.ReadAll(io.LimitReader(r.Body, maxKnobs))
	if err != nil {
		return
	}
	var k backendknobs.Backendknobs
	if err := codec.Unmarshal(a, &k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.Set(k)
}

func (b *Backendstandin) health(w http.ResponseWriter) {
	b.mu.Lock()
	k := b.knobs
	b.mu.Unlock()
	if k.Drain != k.Lie {
		w.Header().Set(loadreport.DrainingHeader, "yes")
	}
	if (k.Drain || k.Silent) != k.Lie {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	n := b.busy.Load()
	fmt.Fprintf(w, "{\"Draining\":%t,\"Busy\":%d,\"Slots\":%d}\n", k.Drain != k.Lie, n, b.Slots)
}

// take returns the faults for one request.
func (b *Backendstandin) take() backendknobs.Backendknobs {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.knobs
	if k.First > 0 {
		b.knobs.First--
		if b.knobs.First == 0 {
			b.knobs = backendknobs.Backendknobs{Bytes: k.Bytes}
		}
	}
	return k
}

func (b *Backendstandin) record(r *http.Request) {
	k := r.Header.Get(JudgeHeader)
	if k == "" {
		k = r.Header.Get("Idempotency-Key")
	}
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
	if len(b.seen) < 1000 {
		b.seen = append(b.seen, r.Method+" "+r.URL.RequestURI())
		for _, v := range r.Header {
			b.seen = append(b.seen, v...)
		}
	}
}

func (b *Backendstandin) work(k backendknobs.Backendknobs) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.Cold {
		return coldFactor * b.Work
	}
	if b.Clock.Since(b.first) < b.ColdFor {
		return 2 * b.Work
	}
	return b.Work
}
