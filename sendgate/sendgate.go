// Package sendgate decides atomically whether a request is sent or refused.
package sendgate

import "sync"

const (
	waiting = iota
	sent
	refused
)

// Sendgate is the single state that determines whether a request is reported as sent or
// as "not run". With two separate flags, the caller could receive "not run" while the
// request is being sent. With a single state, only one of Send and Refuse can succeed
// at a time, and the other returns false. A nil Sendgate lets every request be sent and
// none be refused.
type Sendgate struct {
	mu            sync.Mutex
	state         int
	refusalWanted bool
}

// Send marks the request as sent. It returns false if the request has been
// refused and must not be sent.
func (g *Sendgate) Send() bool {
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

// Unsend undoes Send after proof that the request did not run. It returns false
// if Refuse was called in the meantime, in which case the request is now
// refused.
func (g *Sendgate) Unsend() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = waiting
	if g.refusalWanted {
		g.state = refused
	}
	return !g.refusalWanted
}

// Refuse marks the request as refused. It returns false if the request has been
// sent.
func (g *Sendgate) Refuse() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusalWanted = true
	if g.state == sent {
		return false
	}
	g.state = refused
	return true
}
