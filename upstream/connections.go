package upstream

import (
	"net/http/httptrace"

	"celeryreach.example/celeryreach/sealableconn"
)

// connTracker tracks the connections on which net/http sends a request. There can be
// more than one, because net/http by itself repeats an idempotent request when a reused
// connection breaks.
type connTracker struct {
	onTransportRetry func() // called for each connection after the first one
	current          *sealableconn.Sealableconn
	written          bool // whether an earlier connection was written to
}

// gotConn is called by httptrace when net/http takes a connection for the request.
func (c *connTracker) gotConn(i httptrace.GotConnInfo) {
	if c.current != nil {
		c.written = c.sealWritten()
		c.onTransportRetry()
	}
	c.current = i.Conn.(*sealableconn.Sealableconn)
	c.current.StartRequest()
}

// sealWritten seals the current connection and reports whether any part of the request
// was written to it or to an earlier one.
func (c *connTracker) sealWritten() bool {
	return c.written || c.current != nil && !c.current.Seal()
}
