package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const dialTimeout = time.Second

// conn is a connection that can be blackholed: reads then return no more data
// and written data is discarded, but neither end sees an error.
type conn struct {
	net.Conn

	network    *network
	from       []string
	to         []string
	blackholed atomic.Bool
	closed     chan struct{}
	once       sync.Once
}

func (c *conn) blackhole() {
	c.blackholed.Store(true)
}

// Read blocks on a blackholed connection until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.blackholed.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write accepts and discards all data on a blackholed connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection for both ends.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.network.remove(c)
		err = c.Conn.Close()
	})
	return err
}
