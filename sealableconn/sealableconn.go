// Package sealableconn proves that no part of a request was written to a
// connection.
package sealableconn

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Sealableconn is a connection that records whether it was written to since
// StartRequest. A failed request alone does not prove that nothing was written, because
// net/http may still be writing the request in another goroutine when it returns the
// error. Seal rules this out: after Seal, no write can reach the connection.
type Sealableconn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// StartRequest starts a new request on the connection.
func (s *Sealableconn) StartRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = false
}

// Write writes to the connection unless it is sealed.
func (s *Sealableconn) Write(b []byte) (int, error) {
	s.mu.Lock()
	if s.sealed {
		s.mu.Unlock()
		return 0, errors.New("the connection is sealed: the request was abandoned before it was written")
	}
	s.wrote = true
	s.mu.Unlock()
	return s.Conn.Write(b)
}

// Seal prevents all further writes, and reports whether nothing was written
// since StartRequest.
func (s *Sealableconn) Seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return !s.wrote
}
