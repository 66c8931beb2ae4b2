package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const dialTimeout = time.Second

// conn is a connection that can go silent: nothing arrives any more and
// nothing that is written gets out, but neither end is told.
type conn struct {
	net.Conn

	network *network
	from    []string
	to      []string
	silent  atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *conn) hush() {
	c.silent.Store(true)
}

// Read waits for ever on a silent connection, until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write takes everything and sends nothing on a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection at both ends.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.network.remove(c)
		err = c.Conn.Close()
	})
	return err
}
