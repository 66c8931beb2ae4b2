package peerserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/memoryhold"
)

const (
	// callTimeout is how long a connection may take for its first call, and a call for its first
	// message.
	callTimeout = 5 * time.Second
	// idleTimeout is how long a connection is kept after a call.
	idleTimeout = 5 * time.Minute
	// writeTimeout is how long the other end may take to read one message, or a part of a long one.
	writeTimeout = 10 * time.Second
	// freeMessageBytes of a message are part of what any connection occupies.
	freeMessageBytes = 64 << 10
)

var errNoMemory = errors.New("there is no memory for the message")

// guardedConn is a connection that ends when its other end sends no calls. drpc itself reads no
// further after some bytes that are no calls, and then does not notice that the other end has
// closed the connection.
type guardedConn struct {
	net.Conn
	clock   clockwork.Clock
	ctx     context.Context //nolint:containedctx // ends with the connection, and what drpc does with it
	cancel  context.CancelFunc
	onClose func(c *guardedConn)
	memory  memoryhold.Memoryhold

	mu     sync.Mutex
	since  time.Time       // when the wait for a call or its first message began
	called bool            // a call has had a message
	timer  clockwork.Timer // nil while no wait is bounded
	unread int             // bytes since the last message
	closed bool
}

// await bounds the wait for the next message.
func (c *guardedConn) await(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.stop()
	c.since = c.clock.Now()
	c.timer = c.clock.AfterFunc(d, func() { _ = c.Close() })
}

// received records a message of a call.
func (c *guardedConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.called, c.unread = true, 0
	c.memory.Release()
}

// stop ends the bounded wait.
func (c *guardedConn) stop() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// endCall ends a call. Other hosts send a message with each.
func (c *guardedConn) endCall() {
	c.mu.Lock()
	f := c.called
	c.mu.Unlock()
	if !f {
		_ = c.Close() // ends drpc, too
		return
	}
	c.await(idleTimeout)
}

// waitsSince returns since when no call runs, and whether there was one. Ok is false if one runs.
func (c *guardedConn) waitsSince() (since time.Time, called, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.called, c.timer != nil
}

// Read reads parts of messages.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.memory.Take(c.occupies(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// Write writes for as long as the other end reads.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// occupies returns how much more memory is occupied by n more bytes.
func (c *guardedConn) occupies(n int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := max(0, c.unread-freeMessageBytes)
	c.unread += n
	return int64(max(0, c.unread-freeMessageBytes) - o)
}

// Close closes the connection and ends what drpc does with it.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.stop()
	f := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !f {
		return nil
	}
	c.memory.Release()
	c.onClose(c)
	c.cancel()
	return c.Conn.Close()
}
