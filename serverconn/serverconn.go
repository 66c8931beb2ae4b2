// Package serverconn is the server side of an HTTP/1 connection, which a time limit or a
// shutdown closes only while no request is being read or served.
package serverconn

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// longAgo is a deadline that has passed, whatever the clock shows.
var longAgo = time.Unix(1, 0)

// state is what a connection is doing.
type state int

const (
	waiting   state = iota // for the first byte of a request
	receiving              // the header of a request
	serving                // a request
	ended
)

// Serverconn is the server side of a connection. A limit that passes makes Read fail
// instead of waiting; it never closes the connection. If the connection were closed while
// Read is running, Read could already hold a request, which would be lost without the
// caller knowing whether it ran.
type Serverconn struct {
	net.Conn
	// Clock measures the limits.
	Clock clockwork.Clock
	// Limits returns how long the caller may take for a header, and how long the
	// connection may wait between requests. It is called again when a limit has passed, so
	// that a longer limit applies to connections that are already waiting.
	Limits func() (header, idle time.Duration)

	mu         sync.Mutex
	state      state
	since      time.Time // when the state began
	kept       bool      // a request was served
	draining   bool
	overdue    bool // Read doesn't wait any longer
	timer      clockwork.Timer
	generation int // incremented with each timer, so that a late one has no effect
}

// SetState follows the state that net/http reports for the connection.
func (c *Serverconn) SetState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.enter(waiting)
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.kept = true
		c.enter(waiting)
	case http.StateClosed, http.StateHijacked:
		c.enter(ended)
	}
}

// Drain ends the connection as soon as it waits for a request again. A connection that
// has not had its first request may still receive it.
func (c *Serverconn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.startTimer()
}

// HasRequest reports whether a request is being received or served.
func (c *Serverconn) HasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == receiving || c.state == serving
}

// IsHeaderLate reports whether the header of a request is incomplete after its limit.
func (c *Serverconn) IsHeaderLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == receiving && c.overdue
}

// Read waits for bytes until the limit of the current state has passed, and then returns
// only bytes that have arrived already.
func (c *Serverconn) Read(p []byte) (int, error) {
	if c.isOverdue() {
		return c.readArrived(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isOverdue() {
		return c.readArrived(p)
	}
	return n, err
}

// readArrived reads without waiting. A request that arrived before its connection is
// closed is served, also if this host was late to read it.
func (c *Serverconn) readArrived(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := readNow(c.Conn, p)
	if n > 0 {
		c.received()
	}
	return n, err
}

func (c *Serverconn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdue
}

// received records that a part of a request was read.
func (c *Serverconn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == waiting && c.kept:
		c.enter(receiving)
	case c.state == waiting:
		c.state = receiving // the limit for the first header began with the connection
	}
}

func (c *Serverconn) enter(s state) {
	c.state, c.since = s, c.Clock.Now()
	if c.overdue {
		c.overdue = false
		_ = c.SetReadDeadline(time.Time{}) // only a closed connection has none
	}
	c.startTimer()
}

// startTimer starts the timer for the rest of the state's limit, or ends the wait if
// nothing is left of it.
func (c *Serverconn) startTimer() {
	c.generation++
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	l, ok := c.limit()
	if !ok || c.overdue {
		return
	}
	d := l - c.Clock.Since(c.since)
	if d > 0 {
		n := c.generation
		c.timer = c.Clock.AfterFunc(d, func() { c.checkLimit(n) })
		return
	}
	c.overdue = true
	_ = c.SetReadDeadline(longAgo) // only a closed connection has none
}

func (c *Serverconn) checkLimit(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation == generation {
		c.startTimer()
	}
}

// limit returns how long the current state may last; ok is false if it has no limit.
func (c *Serverconn) limit() (d time.Duration, ok bool) {
	h, i := c.Limits()
	switch {
	case c.state == waiting && c.kept && c.draining:
		return 0, true
	case c.state == waiting && c.kept:
		return i, true
	case c.state == waiting, c.state == receiving:
		return h, true
	}
	return 0, false
}
