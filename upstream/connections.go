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
	mayRepeat        func() bool  // whether a request that was written to a connection may be to another one
	onTransportRetry func()       // called for each connection after the first one
	abandon          func(error)  // ends the request
	current          *sealableconn.Sealableconn
	written          bool  // whether an earlier connection was written to
	repeated         bool  // whether the request was sent again after that
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
	if err := c.checkConn(); err != nil {
		c.abandoned = err
		c.current.Seal()
		c.abandon(err)
		return
	}
	if a {
		c.onTransportRetry()
	}
}

// checkConn returns why the request may not be sent on the current connection, nil if it may.
// net/http would send it on each idle connection in turn, of which a backend server that ends
// or breaks off leaves none whole.
func (c *connTracker) checkConn() error {
	if err := c.checkSend(); err != nil || !c.written {
		return err
	}
	if c.repeated || !c.mayRepeat() {
		return errNotRepeated
	}
	c.repeated = true
	return nil
}

// sealWritten seals the current connection and reports whether any part of the request
// was written to it or to an earlier one.
func (c *connTracker) sealWritten() bool {
	return c.written || c.current != nil && !c.current.Seal()
}
