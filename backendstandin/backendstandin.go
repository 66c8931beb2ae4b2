// Package backendstandin provides a substitute for a backend server, for the
// demo and tests only.
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

	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/upstream"
)

// AttemptHeader identifies one attempt of a caller, so that the runs of repeated
// attempts can be counted separately.
const AttemptHeader = "X-Judge-Id"

const (
	coldFactor     = 10
	maxFaultsBytes = 64 << 10
)

// Backendstandin runs requests on a fixed number of slots, rejects requests
// above that number, and records each run by the request's id. Tests use these
// records to check which requests ran.
type Backendstandin struct {
	// Clock is used for the duration of the work.
	Clock clockwork.Clock
	// Name is included in responses.
	Name string
	// Slots is how many requests run concurrently.
	Slots int
	// RequestDuration is how long a request runs on a warm backend server.
	RequestDuration time.Duration
	// ColdFor is how long the backend server stays cold after its first
	// request. While it is cold, a request takes twice as long.
	ColdFor time.Duration

	busy       atomic.Int64
	mu         sync.Mutex
	faults     backendfaults.Backendfaults
	firstRunAt time.Time
	runs       map[string]int
	received   []string
}

// SetFaults changes the injected faults.
func (b *Backendstandin) SetFaults(k backendfaults.Backendfaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = k
}

// ServeHTTP runs one request, or serves /knobs, /health or /runs.
func (b *Backendstandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/knobs":
		b.handleFaults(w, r)
		return
	case "/health":
		b.writeHealth(w)
		return
	case "/runs":
		b.writeRuns(w)
		return
	}
	k := b.nextFaults()
	w.Header().Set(upstream.IDHeader, r.Header.Get(upstream.IDHeader))
	n := b.busy.Add(1)
	defer b.busy.Add(-1)
	w.Header().Set(loadreport.LoadHeader, strconv.FormatFloat(float64(n)/float64(b.Slots), 'f', 2, 64))
	if k.Drain {
		w.Header().Set(loadreport.DrainingHeader, "yes")
	}
	if n > int64(b.Slots) || k.Shed || k.Drain {
		w.Header().Set(responsecopier.NotRunHeader, "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	if k.Silent {
		// The body has been read, so net/http detects a disconnect of the
		// client and cancels the context.
		<-r.Context().Done()
		return
	}
	// From here on the request counts as run, even if its caller has
	// disconnected.
	b.recordRun(r)
	select {
	case <-r.Context().Done():
		return
	case <-b.Clock.After(b.workDuration(k)):
	}
	b.writeResponse(w, r, k, hex.EncodeToString(h.Sum(nil)))
}

// writeRuns writes the number of runs by id, for tests that run the backend
// stand-in as a separate process.
func (b *Backendstandin) writeRuns(w http.ResponseWriter) {
	v, err := codec.Marshal(b.RunCounts())
	if err != nil {
		panic(err) // a map of counts can always be marshaled
	}
	_, _ = w.Write(v) // a failed write means that the client disconnected
}

// Busy returns how many requests are in progress. Requests that are being refused
// are included.
func (b *Backendstandin) Busy() int {
	return int(b.busy.Load())
}

// RunCounts returns how often each id was run.
func (b *Backendstandin) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// ReceivedValues returns the method, target and header values of the first 1000
// recorded requests, so that a test can check that no key was forwarded.
func (b *Backendstandin) ReceivedValues() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
}

// ResponseBody returns the response body for a request. It names the request, so that a
// caller can check that the response belongs to the request and is complete.
func ResponseBody(name, method, target, digest string, n int) string {
	s := fmt.Sprintf("%s %s %s %s\n", name, method, target, digest)
	return s + strings.Repeat("-", max(0, n-len(s)-1)) + "."
}

func (b *Backendstandin) writeResponse(w http.ResponseWriter, r *http.Request, k backendfaults.Backendfaults, digest string) {
	a := ResponseBody(b.Name, r.Method, r.URL.RequestURI(), digest, k.Bytes)
	switch {
	case k.Mute:
		<-r.Context().Done()
		return
	case k.Close:
		panic(http.ErrAbortHandler)
	case k.WrongID:
		w.Header().Set(upstream.IDHeader, "another")
	case k.Unsized:
		b.writeUnsized(w, a)
		return
	}
	n := len(a)
	if k.Short || k.Cut {
		a = a[:n/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = io.WriteString(w, a) // a failed write means that the client disconnected
	if k.Cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// writeUnsized writes a response with neither a content length nor chunked
// encoding.
func (b *Backendstandin) writeUnsized(w http.ResponseWriter, a string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n%s", upstream.IDHeader, w.Header().Get(upstream.IDHeader), a)
}

func (b *Backendstandin) handleFaults(w http.ResponseWriter, r *http.Request) {
	a, err := io.ReadAll(io.LimitReader(r.Body, maxFaultsBytes))
	if err != nil {
		return
	}
	var k backendfaults.Backendfaults
	if err := codec.Unmarshal(a, &k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(k)
}

func (b *Backendstandin) writeHealth(w http.ResponseWriter) {
	b.mu.Lock()
	k := b.faults
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

// nextFaults returns the faults for one request and counts down the limited
// number of faulty requests.
func (b *Backendstandin) nextFaults() backendfaults.Backendfaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.faults
	if k.First > 0 {
		b.faults.First--
		if b.faults.First == 0 {
			b.faults = backendfaults.Backendfaults{Bytes: k.Bytes}
		}
	}
	return k
}

func (b *Backendstandin) recordRun(r *http.Request) {
	k := r.Header.Get(AttemptHeader)
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
		b.firstRunAt = b.Clock.Now()
	}
	b.runs[k]++
	if len(b.received) < 1000 {
		b.received = append(b.received, r.Method+" "+r.URL.RequestURI())
		for _, v := range r.Header {
			b.received = append(b.received, v...)
		}
	}
}

func (b *Backendstandin) workDuration(k backendfaults.Backendfaults) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.Cold {
		return coldFactor * b.RequestDuration
	}
	if b.Clock.Since(b.firstRunAt) < b.ColdFor {
		return 2 * b.RequestDuration
	}
	return b.RequestDuration
}
