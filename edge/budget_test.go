package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Bound on what backend servers are sent beyond the first arrival of each request: in any
// repeatsWindow, retryRatio for each request of callers in that window, or in the one before or
// half before it if these have more, plus retrySlack.
const (
	repeatsWindow = 10 * time.Second
	retryRatio    = 0.2
	retrySlack    = 56
)

// repeats records the arrivals of requests at backend servers, over all of them.
type repeats struct {
	mu      sync.Mutex
	sent    []time.Time // by callers
	arrived map[string]bool
	again   []time.Time // arrivals beyond the first of their request
}

func (r *repeats) send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, clock.Now())
}

func (r *repeats) arrive(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived == nil {
		r.arrived = make(map[string]bool)
	}
	if r.arrived[id] {
		r.again = append(r.again, clock.Now())
	}
	r.arrived[id] = true
}

// excess describes the first window with more repeats than are allowed, empty if there is none.
func (r *repeats) excess() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range r.again {
		n := 0
		for _, v := range r.again[i:] {
			if v.Before(t.Add(repeatsWindow)) {
				n++
			}
		}
		m := max(r.requests(t), r.requests(t.Add(-repeatsWindow/2)), r.requests(t.Add(-repeatsWindow)))
		if a := retryRatio*float64(m) + retrySlack; float64(n) > a {
			return fmt.Sprintf("%d repeats in %s, %.0f are allowed for %d requests", n, repeatsWindow, a, m)
		}
	}
	return ""
}

// requests returns how many requests callers sent in the window from t on.
func (r *repeats) requests(t time.Time) int {
	n := 0
	for _, v := range r.sent {
		if !v.Before(t) && v.Before(t.Add(repeatsWindow)) {
			n++
		}
	}
	return n
}

// Guards against more repeats over all hosts than are allowed, when backend servers break the
// connections of requests, by hosts, by net/http, and by hosts to which requests are forwarded.
func TestRepeatsStayInBudget(t *testing.T) {
	for _, n := range []string{"budget-breaks", "budget-hop"} {
		t.Run(n, func(t *testing.T) { runSeeded(t, n) })
	}
}
