// Package gate decides, once, whether a request has left the host or has been
// given up.
package gate

import "sync"

const (
	waiting = iota
	sent
	refused
)

// Gate is the one state behind "not run" and "sent". Two flags would allow a
// moment in which the caller is told "not run" while the request leaves; here
// one of the two sides comes first, and the other one is told so. A nil Gate
// lets every request pass and gives none up.
type Gate struct {
	mu     sync.Mutex
	state  int
	wanted bool
}

// Send marks the request as sent. False means that it has been given up and
// must not leave.
func (g *Gate) Send() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == refused {
		return false
	}
	g.state = sent
	return true
}

// Return takes back Send after proof that the request did not run. False means
// that somebody wanted to give it up meanwhile, and now has.
func (g *Gate) Return() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = waiting
	if g.wanted {
		g.state = refused
	}
	return !g.wanted
}

// Refuse gives the request up. False means that it has been sent.
func (g *Gate) Refuse() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted = true
	if g.state == sent {
		return false
	}
	g.state = refused
	return true
}
