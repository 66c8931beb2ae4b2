// Package serverconn is the server side of an HTTP/1 connection. A time limit or a shutdown
// never closes it beside a running Read: it makes Read fail, when nothing has arrived.
package serverconn

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/memoryhold"
)

// arrivedTimeout is how long Read still returns bytes after the limit. With a deadline in
// the past it would not return bytes that have arrived already, and the process may get
// its processor time late.
const arrivedTimeout = 10 * time.Millisecond

const (
	// freeHeaderBytes of a header are part of what any connection occupies.
	freeHeaderBytes = 4 << 10
	// headerCost is how many bytes a byte of a longer header occupies: net/http holds a line
	// in the buffer that grew with it, and the header fields in strings.
	headerCost = 3
)

var errNoMemory = errors.New("there is no memory for the request header")

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
	// that a longer limit applies to connections that are already waiting. It must not
	// block.
	Limits func() (header, idle time.Duration)
	// BeginsWithHandshake is set if a TLS handshake comes before the first request. It
	// has the limit of the first header.
	BeginsWithHandshake bool
	// Memory is where the memory for headers comes from; nil has no limit. Clients that keep it
	// waiting for the rest of a header, or for a response to be read, can lose their connection to
	// others.
	Memory *memorybudget.Memorybudget

	mu       sync.Mutex
	state    state
	since    time.Time // when the state began
	kept     bool      // a request was served
	draining bool
	resets   bool      // a close resets the connection
	overdue  bool      // Read returns only what has arrived
	readEnd  time.Time // the end of arrivedTimeout, zero until Read was called after the limit
	late     bool      // a header was incomplete when its limit had passed
	timer    clockwork.Timer
	ending   bool // ends with its wait for a request or header

	headerBytes int                   // received since the connection waited
	header      memoryhold.Memoryhold // what the header occupies
	headerDone  func()                // ends the wait for the rest of a header; nil if none is registered
	evicted     atomic.Bool           // the wait for the rest of the header was ended
	overflowed  atomic.Bool           // bytes of the header were lost for lack of memory
	bodyTimer   clockwork.Timer       // limits the wait for the rest of a body; nil without a limit
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
	c.checkLimit()
}

// EndWait ends the connection if it waits for a request or for the rest of a header, or as soon as
// it does so again. What has arrived is still served.
func (c *Serverconn) EndWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.checkLimit()
}

// WaitsSince returns since when the connection waits for a request or for the rest of a header,
// and whether it has served one before. Ok is false if it doesn't wait, or is about to end.
func (c *Serverconn) WaitsSince() (since time.Time, kept, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.state == waiting || c.state == receiving
	return c.since, c.kept && c.state == waiting, w && !c.ending && !c.overdue
}

// HasRequest reports whether a request is being received or served.
func (c *Serverconn) HasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == serving || c.isReceiving()
}

// isReceiving reports whether a part of a header was read. Of the first header over TLS
// this isn't known, since the handshake came on the same connection.
func (c *Serverconn) isReceiving() bool {
	return c.state == receiving && (c.kept || !c.BeginsWithHandshake)
}

// IsHeaderLate reports whether the connection failed because a header was incomplete when
// its limit had passed.
func (c *Serverconn) IsHeaderLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// CloseWrite ends the response. net/http uses it before it closes a connection on which
// the caller still sends, because closing it at once could destroy the response.
func (c *Serverconn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// SetResets sets whether the connection ends with a reset, however it is closed, also by the end
// of the process. Otherwise a response that has no other end looks whole wherever it is cut.
func (c *Serverconn) SetResets(resets bool) {
	c.mu.Lock()
	c.resets = resets
	c.mu.Unlock()
	t, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	s := -1
	if resets {
		s = 0
	}
	_ = t.SetLinger(s) // fails only on a closed connection
}

// Reset closes the connection if SetResets has set it. To close the TLS above would first send the
// message of an orderly end.
func (c *Serverconn) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resets {
		_ = c.Close() // nothing is left to be sent
	}
}

// Read waits for bytes until the limit of the current state has passed, and then returns
// only bytes that have arrived already.
func (c *Serverconn) Read(p []byte) (int, error) {
	if c.overflowed.Load() {
		return 0, overflowError() // also to a reader that has dropped the error before
	}
	if c.isOverdue() {
		return c.readArrived(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.received(n, err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isOverdue() {
		return c.readArrived(p)
	}
	return n, err
}

func (c *Serverconn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdue
}

// readArrived reads what has arrived. A request that arrived before its connection ends
// is served, even if this host was late to read it.
func (c *Serverconn) readArrived(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.arrivedDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.received(n, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = c.isReceiving()
	return n, err
}

// arrivedDeadline returns when Read fails for good; the first call sets it. Later calls
// don't move it: otherwise a caller that sends byte after byte would keep the connection. A
// reader that has a part of a line may also drop the error of one Read, and would then take
// later bytes for the next line.
func (c *Serverconn) arrivedDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readEnd.IsZero() {
		c.readEnd = c.Clock.Now().Add(arrivedTimeout)
	}
	return c.readEnd
}

// received records that n bytes were read, and returns the result of Read. There may be no memory
// for them.
func (c *Serverconn) received(n int, err error) (int, error) {
	if !c.header.Take(c.receive(n)) {
		c.overflowed.Store(true)
		return 0, overflowError()
	}
	return n, err
}

// overflowError returns an error after which net/http closes the connection and writes nothing.
func overflowError() error {
	return &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
}

// receive follows the state, and returns how much more memory the header occupies.
func (c *Serverconn) receive(n int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == waiting && c.kept:
		c.enter(receiving)
	case c.state == waiting:
		c.state = receiving // the limit for the first header began with the connection
	}
	if c.state != receiving || c.Memory == nil {
		return 0
	}
	o := max(0, c.headerBytes-freeHeaderBytes)
	c.headerBytes += n
	m := max(0, c.headerBytes-freeHeaderBytes) - o
	if m > 0 && c.headerDone == nil {
		c.header.Budget = c.Memory
		c.headerDone = c.Memory.Stalled.Add(c.since, func() {
			c.evicted.Store(true)
			_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
		})
	}
	return int64(m) * headerCost
}

// endHeader ends the wait for the rest of a header.
func (c *Serverconn) endHeader() {
	if c.headerDone == nil {
		return
	}
	c.headerDone()
	c.headerDone = nil
	if c.evicted.Swap(false) {
		_ = c.SetReadDeadline(time.Time{}) // as above
	}
}

func (c *Serverconn) enter(s state) {
	c.state, c.since = s, c.Clock.Now()
	if s != receiving {
		c.endHeader()
	}
	c.endBody()
	if s == waiting || s == ended {
		c.headerBytes = 0
		c.header.Release()
	}
	if c.overdue {
		c.overdue, c.readEnd = false, time.Time{}
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	c.checkLimit()
}

// checkLimit starts a timer for the rest of the state's limit, or ends the wait if nothing
// is left of it.
func (c *Serverconn) checkLimit() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	l, ok := c.limit()
	if !ok || c.overdue {
		return
	}
	if d := l - c.Clock.Since(c.since); d > 0 {
		c.timer = c.Clock.AfterFunc(d, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.checkLimit()
		})
		return
	}
	c.overdue = true
	_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
}

// limit returns how long the current state may last; ok is false if it has no limit.
func (c *Serverconn) limit() (d time.Duration, ok bool) {
	h, i := c.Limits()
	switch {
	case c.state == waiting && c.kept && c.draining, c.ending && (c.state == waiting || c.state == receiving):
		return 0, true
	case c.state == waiting && c.kept:
		return i, true
	case c.state == waiting, c.state == receiving:
		return h, true
	}
	return 0, false
}
