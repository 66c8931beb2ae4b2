package httplisten

import (
	"net"
	"net/http"
	"sync"

	"celeryreach.example/celeryreach/serverconn"
)

// connections holds the open connections of a listener.
type connections struct {
	// onHeaderLate is called when a connection ends since a header was not complete in
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
func (s *connections) setState(c *serverconn.Serverconn, v http.ConnState) {
	if v == http.StateClosed && c.IsHeaderLate() {
		s.onHeaderLate()
	}
	c.SetState(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch v {
	case http.StateNew:
		s.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		s.checkNone()
	case http.StateActive, http.StateIdle:
	}
}

// drain ends each connection when it has no request. No connection may be added
// afterwards. The channel that it returns is closed when all have ended.
func (s *connections) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.Drain()
	}
	s.checkNone()
	return s.none
}

func (s *connections) checkNone() {
	if s.draining && len(s.open) == 0 {
		s.once.Do(func() { close(s.none) })
	}
}

// isDraining reports whether drain was called.
func (s *connections) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// requests returns on how many connections a request is being received or served.
func (s *connections) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
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
