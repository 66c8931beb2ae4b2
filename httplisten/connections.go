package httplisten

import (
	"net"
	"net/http"
	"sync"

	"celeryreach.example/celeryreach/serverconn"
)

// connections holds the open connections of a listener.
type connections struct {
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
	wrap func(c net.Conn) net.Conn
}

// Accept returns the next connection, wrapped.
func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}
