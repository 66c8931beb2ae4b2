// Package acceptor keeps a server accepting connections after an error.
package acceptor

import (
	"net"

	"github.com/pkg/errors"
)

// Acceptor is a Listener whose Accept returns only temporary errors until it is closed. After
// any other, the servers of net/http and drpc close their listener for good, and that of drpc
// ends its connections too.
type Acceptor struct {
	net.Listener
}

// Accept returns the next connection.
func (l *Acceptor) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, temporaryError{err}
	}
	return c, err
}

// temporaryError is an error after which servers accept again.
type temporaryError struct{ error }

// Timeout reports that the error is no timeout.
func (temporaryError) Timeout() bool { return false }

// Temporary reports that the next call may succeed.
func (temporaryError) Temporary() bool { return true }
