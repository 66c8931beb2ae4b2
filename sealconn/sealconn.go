// Package sealconn proves that nothing of a request was written to a
// connection.
package sealconn

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Sealconn is a connection that knows whether it was written to since Mark. A
// failed request alone proves nothing: net/http may still be writing it in
// another goroutine when it returns the error. Seal closes that gap, since
// after it no write can reach the connection any more.
type Sealconn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Mark begins a new request on the connection.
func (s *Sealconn) Mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = false
}

// Write writes unless the connection is sealed.
func (s *Sealconn) Write(b []byte) (int, error) {
	s.mu.Lock()
	if s.sealed {
		s.mu.Unlock()
		return 0, errors.New("the request was given up before it was written")
	}
	s.wrote = true
	s.mu.Unlock()
	return s.Conn.Write(b)
}

// Seal ends all writing and reports whether nothing was written since Mark.
func (s *Sealconn) Seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return !s.wrote
}
