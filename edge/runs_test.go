package edge_test

import (
	"fmt"
	"net/http"
	"slices"
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
	// endlessPath is the path of requests whose response has no end.
	endlessPath = listingPath + "endless/"
	// maxBuffered is the longest body that callers' hosts buffer.
	maxBuffered = 256 << 10
	// goneTime is how long after its caller has left a request may still be at work.
	goneTime = 500 * time.Millisecond
	// applyTime is how long after it is written a version may not yet be in force.
	applyTime = time.Second
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
	"long":       {path: longPath},
	"long-enrol": {path: longEnrolPath, key: "key", body: 2 << 10},
	"endless":    {path: endlessPath},
	"leaves":     {path: slowPath, leaves: 200 * time.Millisecond},
}

// kind returns the kind of a request. The kinds of a script take turns.
func (w *deployment) kind(id string) kind {
	w.mu.Lock()
	defer w.mu.Unlock()
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
	homes   []homeChange
}

// homeChange is a version of the configuration that moves the home of the routes below
// homePath.
type homeChange struct {
	at   time.Time
	home string
}

func (r *runs) start(id string, q *http.Request) {
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
	}
}

// arrive checks that a backend server that receives a request stands in its homes. Hosts
// may believe that it stands in one of the given regions.
func (r *runs) arrive(id string, q *http.Request, b backend.Backend, regions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(q.URL.Path, homePath) && !slices.ContainsFunc(regions, func(g string) bool { return r.isHome(q, g) }) {
		r.errors = append(r.errors, fmt.Sprintf("request %s reached %s in %s", id, b.Name, b.Region))
	}
}

// isHome reports whether a region was a home of the routes below homePath when the caller
// sent a request and is one now.
func (r *runs) isHome(q *http.Request, region string) bool {
	n, err := strconv.ParseInt(q.Header.Get(sentHeader), 10, 64)
	if err != nil {
		panic(err) // the test wrote it
	}
	return r.wasHome(time.Unix(0, n), region) && r.wasHome(clock.Now(), region)
}

// wasHome reports whether one of the versions that hosts may have had in force at t lists
// the region.
func (r *runs) wasHome(t time.Time, region string) bool {
	l := []homeChange{{home: routes[2].Homes[0]}}
	for _, c := range r.homes {
		if c.at.Before(t.Add(-applyTime)) {
			l = nil
		}
		if !c.at.After(t) {
			l = append(l, c)
		}
	}
	return slices.ContainsFunc(l, func(c homeChange) bool { return c.home == region })
}

// moveHome records that a version with another home is written now.
func (r *runs) moveHome(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.homes = append(r.homes, homeChange{at: clock.Now(), home: region})
}

// home returns the home in the newest version.
func (r *runs) home() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.homes) == 0 {
		return routes[2].Homes[0]
	}
	return r.homes[len(r.homes)-1].home
}

// endless records a response without end that a host still reads after its caller's deadline.
func (r *runs) endless(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf("the response of request %s was still read %s after its deadline", id, goneTime))
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
