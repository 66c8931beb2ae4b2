package edge_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"celeryreach.example/celeryreach/ingress"
)

// attemptHeader names one attempt of a request. What net/http sends again by itself has the
// same name.
const attemptHeader = "Attempt"

// attempts records which attempts of each request have reached a backend server, over all
// hosts.
type attempts struct {
	mu     sync.Mutex
	count  int                 // attempts of all hosts
	seen   map[string][]string // by request
	limit  int                 // of every request; zero if the routes have it
	errors []string
}

// next returns the name of a host's next attempt.
func (a *attempts) next(host string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	return fmt.Sprintf("%s/%d", host, a.count)
}

// arrive records that an attempt has reached a backend server.
func (a *attempts) arrive(id, name, path, backend string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = make(map[string][]string)
	}
	// If the address is another backend server's by now, that one refuses the repeat.
	if slices.ContainsFunc(a.seen[id], func(s string) bool { return strings.HasPrefix(s, name+" to ") }) {
		return
	}
	a.seen[id] = append(a.seen[id], name+" to "+backend)
	m := a.limit
	if m == 0 {
		m = routes[slices.IndexFunc(routes, func(i ingress.Ingress) bool { return strings.HasPrefix(path, i.Prefix) })].Attempts
	}
	if l := a.seen[id]; len(l) == m+1 {
		a.errors = append(a.errors, fmt.Sprintf("request %s has %d attempts, and: %s", id, m, strings.Join(l, ", ")))
	}
}

// excess describes the first request that was sent to too many backend servers, empty if
// there is none.
func (a *attempts) excess() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.errors) == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests, such as: %s", len(a.errors), a.errors[0])
}

// Guards against a forwarded request that is sent to more backend servers, over all hosts,
// than its route allows.
func TestForwardedRequestsKeepAttempts(t *testing.T) {
	for _, n := range []string{"attempts-refused", "attempts-hosts-cut"} {
		for _, s := range []string{linkResets, linkHangs, linkKeeps} {
			t.Run(n+"/"+s, func(t *testing.T) { runLinkScript(t, n, s) })
		}
	}
}
