package httplisten

import (
	"net"
	"net/http"
	"sync"
	"time"

	"celeryreach.example/celeryreach/serverconn"
	"celeryreach.example/celeryreach/stalled"
)

const (
	// roomDivisor is the part of MaxConnections that is kept free by ending connections that wait:
	// they end a little later.
	roomDivisor = 8
	// minWait is how long a connection waits for its first request before it can be ended for
	// another one.
	minWait = 500 * time.Millisecond
)

// connections holds the open connections of a listener.
type connections struct {
	// limit is the largest number of open connections; zero means no limit.
	limit int
	// now returns the time.
	now func() time.Time
	// stalled holds the waits for clients with requests; nil holds none.
	stalled *stalled.Stalled
	// onHeaderLate is called when a connection ends because a header was not complete in
	// time.
	onHeaderLate func()

	mu       sync.Mutex
	open     map[*serverconn.Serverconn]struct{}
	draining bool
	none     chan struct{} // closed when no connection is open while draining
	once     sync.Once
}

func newConnections(onHeaderLate func()) *connections {
	return &connections{onHeaderLate: onHeaderLate, open: make(map[*serverconn.Serverconn]struct{}), none: make(chan struct{})}
}

// makeRoom reports whether one more connection may be open. If most of them are, it ends the one
// that a client needs least: that waits longest for another request, for a first one, or for the
// rest of one.
func (g *connections) makeRoom() bool {
	g.mu.Lock()
	n := len(g.open)
	f := g.limit == 0 || n < g.limit-g.limit/roomDivisor
	var v *serverconn.Serverconn
	if !f {
		v = g.leastNeeded()
	}
	g.mu.Unlock()
	switch {
	case f:
		return true
	case v != nil:
		v.EndWait()
	default:
		g.stalled.EndOldest(minWait)
	}
	return n < g.limit
}

// leastNeeded returns the connection that waits longest, nil if none does. Those that have served
// a request go first.
func (g *connections) leastNeeded() *serverconn.Serverconn {
	var idle, first *serverconn.Serverconn
	var idleSince, firstSince time.Time
	for c := range g.open {
		s, k, ok := c.WaitsSince()
		switch {
		case ok && k && (idle == nil || s.Before(idleSince)):
			idle, idleSince = c, s
		case ok && !k && (first == nil || s.Before(firstSince)):
			first, firstSince = c, s
		}
	}
	if idle != nil {
		return idle
	}
	if first == nil || g.now().Sub(firstSince) < minWait {
		return nil
	}
	return first
}

// setState follows the state that net/http reports for a connection.
func (g *connections) setState(c *serverconn.Serverconn, v http.ConnState) {
	if v == http.StateClosed && c.IsHeaderLate() {
		g.onHeaderLate()
	}
	c.SetState(v)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch v {
	case http.StateNew:
		g.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(g.open, c)
		g.checkNone()
	case http.StateActive, http.StateIdle:
	}
}

// drain ends each connection when it has no request. No connection may be added
// afterwards. The channel that it returns is closed when all have ended.
func (g *connections) drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for c := range g.open {
		c.Drain()
	}
	g.checkNone()
	return g.none
}

func (g *connections) checkNone() {
	if g.draining && len(g.open) == 0 {
		g.once.Do(func() { close(g.none) })
	}
}

// isDraining reports whether drain was called.
func (g *connections) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// reset ends the responses that have no other end than that of their connection.
func (g *connections) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.Reset()
	}
}

// busy returns on how many connections a request is being received or served.
func (g *connections) busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for c := range g.open {
		if c.HasRequest() {
			n++
		}
	}
	return n
}

// connListener wraps the connections of a listener.
type connListener struct {
	net.Listener
	connections *connections
	wrap        func(c net.Conn) net.Conn
	onRefused   func()
}

// Accept returns the next connection for which there is room, wrapped.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.makeRoom() {
			return l.wrap(c), nil
		}
		_ = c.Close() // nothing was read
		l.onRefused()
	}
}
