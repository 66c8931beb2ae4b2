package httplisten

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// guard closes a connection whose caller takes too long for a header, or stays
// idle. The server's own timeouts are fixed when it starts, and an operator's
// change would not reach connections that are kept open for hours.
type guard struct {
	clock clockwork.Clock
	conn  net.Conn

	mu    sync.Mutex
	timer clockwork.Timer
	turn  int // counts what the connection does, so that a timer that is late does nothing
}

// arm closes the connection after d unless it goes on before.
func (g *guard) arm(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop()
	n := g.turn
	g.timer = g.clock.AfterFunc(d, func() { g.expire(n) })
}

func (g *guard) disarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop()
}

func (g *guard) stop() {
	g.turn++
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
}

func (g *guard) expire(turn int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.turn == turn {
		_ = g.conn.Close() // the caller is gone or not worth waiting for
	}
}

// guards keeps the guard of each open connection.
type guards struct {
	clock clockwork.Clock
	// limits returns how long a caller may take for the first header, and how
	// long a connection may be without a request.
	limits func() (header, idle time.Duration)

	mu    sync.Mutex
	conns map[net.Conn]*guard
}

// changed follows the state of a connection: it is active when a request's header
// has been read, and idle when the request has been answered.
func (g *guards) changed(c net.Conn, s http.ConnState) {
	v := g.guard(c, s)
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

func (g *guards) guard(c net.Conn, s http.ConnState) *guard {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.conns[c]
	if v == nil {
		v = &guard{clock: g.clock, conn: c}
		g.conns[c] = v
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(g.conns, c)
	}
	return v
}
