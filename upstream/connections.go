package upstream

import (
	"net/http/httptrace"

	"celeryreach.example/celeryreach/sealconn"
)

// connections follows a request over the connections that net/http sends it on: it
// repeats an idempotent one by itself when a kept connection breaks.
type connections struct {
	again   func() // called for each connection after the first
	now     *sealconn.Sealconn
	written bool // on one of the connections before
}

// got takes the next connection.
func (c *connections) got(i httptrace.GotConnInfo) {
	if c.now != nil {
		c.written = c.wrote()
		c.again()
	}
	c.now = i.Conn.(*sealconn.Sealconn)
	c.now.Mark()
}

// wrote seals the connection and reports whether anything of the request was written
// on any.
func (c *connections) wrote() bool {
	return c.written || c.now != nil && !c.now.Seal()
}
