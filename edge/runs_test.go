package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"celeryreach.example/celeryreach/backend"
)

const (
	// slowPath is the path of requests that take slowWork.
	slowPath = listingPath + "slow/"
	slowWork = 1200 * time.Millisecond
	// maxBuffered is the longest body that callers' hosts buffer.
	maxBuffered = 256 << 10
	// goneTime is how long after its caller has left a request may still be at work.
	goneTime = 500 * time.Millisecond
	// maxGone is how many requests may be at work longer.
	maxGone = 3
)

// kind is a kind of callers' requests.
type kind struct {
	path   string
	key    string
	body   int           // bytes
	leaves time.Duration // when the caller leaves; zero if it waits
}

// kinds are the kinds that scripts name.
var kinds = map[string]kind{
	"view":       {path: listingPath},
	"enrol":      {path: enrolPath, key: "key", body: 2 << 10},
	"long-body":  {path: enrolPath, key: "key", body: 2 * maxBuffered},
	"home":       {path: homePath},
	"home-enrol": {path: homeEnrolPath, key: "key", body: 2 << 10},
	"leaves":     {path: slowPath, leaves: 200 * time.Millisecond},
}

// kind returns the kind of a request. The kinds of a script take turns.
func (w *deployment) kind(id string) kind {
	if len(w.kinds) == 0 {
		return kinds["view"]
	}
	n, err := strconv.Atoi(id)
	if err != nil {
		panic(err) // the test wrote it
	}
	return kinds[w.kinds[n%len(w.kinds)]]
}

// runs records what backend servers run, over all of them.
type runs struct {
	mu      sync.Mutex
	started map[string]int       // by request
	left    map[string]time.Time // when the caller left
	refused map[string]bool      // reported as not run
	broken  map[string]bool      // broken off by their backend server
	errors  []string
	gone    int // requests at work too long after their caller had left
}

func (r *runs) start(id string, q *http.Request, b backend.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started == nil {
		r.started = make(map[string]int)
	}
	r.started[id]++
	switch {
	case q.Method == http.MethodPost && r.started[id] > 1:
		r.errors = append(r.errors, fmt.Sprintf("request %s ran twice", id))
	case q.Method == http.MethodPost && r.refused[id]:
		r.errors = append(r.errors, fmt.Sprintf("request %s ran after it was reported as not run", id))
	case strings.HasPrefix(q.URL.Path, homePath) && b.Region != routes[2].Homes[0]:
		r.errors = append(r.errors, fmt.Sprintf("request %s ran in %s", id, b.Region))
	}
}

func (r *runs) breakOff(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken == nil {
		r.broken = make(map[string]bool)
	}
	r.broken[id] = true
}

func (r *runs) isBroken(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken[id]
}

func (r *runs) finish(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.left[id]; ok && clock.Since(t) > goneTime {
		r.gone++
	}
}

func (r *runs) leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == nil {
		r.left = make(map[string]time.Time)
	}
	r.left[id] = clock.Now()
}

// end records the end of a request; notRun is set if its caller was told so.
func (r *runs) end(id string, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !notRun {
		return
	}
	if r.refused == nil {
		r.refused = make(map[string]bool)
	}
	r.refused[id] = true
	if r.started[id] > 0 && r.left[id].IsZero() {
		r.errors = append(r.errors, fmt.Sprintf("request %s ran and was reported as not run", id))
	}
}

// wrong describes what must not have happened.
func (r *runs) wrong() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.errors
	if r.gone > maxGone {
		l = append(l, fmt.Sprintf("%d requests at work %s after their callers had left", r.gone, goneTime))
	}
	return l
}
