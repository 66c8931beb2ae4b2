package upstream

import (
	"net/http/httptrace"

	"celeryreach.example/celeryreach/sealableconn"
)

// connTracker follows the connections on which net/http sends a request, and ends the
// request if it may not be sent on one. There can be more than one, because net/http by
// itself repeats an idempotent request when a reused connection breaks.
type connTracker struct {
	checkSend        func() error // why the request may not be sent on one more connection
	onTransportRetry func()       // called for each connection after the first one
	abandon          func(error)  // ends the request
	current          *sealableconn.Sealableconn
	written          bool  // whether an earlier connection was written to
	abandoned        error // why the request was abandoned
}

// gotConn is called by httptrace when net/http takes a connection for the request.
func (c *connTracker) gotConn(i httptrace.GotConnInfo) {
	a := c.current != nil
	if a {
		c.written = c.sealWritten()
	}
	c.current = i.Conn.(*sealableconn.Sealableconn)
	c.current.StartRequest()
	if err := c.checkSend(); err != nil {
		c.abandoned = err
		c.current.Seal()
		c.abandon(err)
		return
	}
	if a {
		c.onTransportRetry()
	}
}

// sealWritten seals the current connection and reports whether any part of the request
// was written to it or to an earlier one.
func (c *connTracker) sealWritten() bool {
	return c.written || c.current != nil && !c.current.Seal()
}
