package httplisten

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// connTimeout closes a connection whose caller takes too long for a header or stays
// idle. The timeouts of http.Server are fixed when it starts, so that changes by an
// operator would not apply to connections that are kept open for hours.
type connTimeout struct {
	clock clockwork.Clock
	conn  net.Conn

	mu         sync.Mutex
	timer      clockwork.Timer
	expired    bool
	generation int // incremented whenever the timer changes, so that a timer that fires late has no effect
}

// arm closes the connection after d unless the timeout is armed again or disarmed
// before.
func (g *connTimeout) arm(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelTimer()
	n := g.generation
	g.timer = g.clock.AfterFunc(d, func() { g.expire(n) })
}

func (g *connTimeout) disarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelTimer()
}

func (g *connTimeout) cancelTimer() {
	g.generation++
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
}

func (g *connTimeout) expire(generation int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.generation == generation {
		g.expired = true
		_ = g.conn.Close() // the caller is gone or too slow
	}
}

// connTimeouts holds the timeout of each open connection.
type connTimeouts struct {
	clock clockwork.Clock
	// limits returns how long a caller may take for the first header, and how long a
	// connection may be without a request.
	limits func() (header, idle time.Duration)

	mu    sync.Mutex
	conns map[net.Conn]*connTimeout
}

// stateChanged follows the state of a connection: active when the header of a request
// has been read, and idle when the request has been answered.
func (g *connTimeouts) stateChanged(c net.Conn, s http.ConnState) {
	v := g.timeoutOf(c, s)
	h, i := g.limits()
	switch s {
	case http.StateNew:
		v.arm(cmp.Or(h, headerTimeout))
	case http.StateIdle:
		v.arm(cmp.Or(i, idleTimeout))
	case http.StateActive, http.StateClosed, http.StateHijacked:
		v.disarm()
	}
}

// timeoutOf returns the timeout of a connection in state s. It removes connections
// that have ended.
func (g *connTimeouts) timeoutOf(c net.Conn, s http.ConnState) *connTimeout {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.conns[c]
	if v == nil {
		v = &connTimeout{clock: g.clock, conn: c}
		g.conns[c] = v
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(g.conns, c)
	}
	return v
}

// hasExpired reports whether the timeout of an open connection has closed it.
func (g *connTimeouts) hasExpired(c net.Conn) bool {
	g.mu.Lock()
	v := g.conns[c]
	g.mu.Unlock()
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.expired
}
