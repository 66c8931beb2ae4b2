// Package sealableconn proves that no part of a request was written to a
// connection, and that the other end did not reset it while a request was written.
package sealableconn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// writeEndTimeout is how long the end of a connection waits for the result of a running write. A
// write fails at once when the connection is reset; one that takes longer waits for the other end
// to read.
const writeEndTimeout = time.Second

// ErrReset is returned by Read at the end of a connection that the other end has reset.
var ErrReset = errors.New("the connection was reset while it was written to")

// Sealableconn is a connection that records whether it was written to since
// StartRequest. A failed request alone does not prove that nothing was written, because
// net/http may still be writing the request in another goroutine when it returns the
// error. Seal rules this out: after Seal, no write can reach the connection.
//
// The kernel reports a reset only once. If a write takes it, the reads after it return the bytes
// that have arrived, and then an orderly end; Read returns ErrReset instead.
type Sealableconn struct {
	net.Conn
	// Clock measures the wait for a running write.
	Clock clockwork.Clock

	mu      sync.Mutex
	wrote   bool
	read    bool // since StartRequest
	sealed  bool
	closed  bool          // by this end
	reset   bool          // by the other end, as a write has shown
	writes  int           // running
	settled chan struct{} // closed when no write runs; nil if nothing waits for it
}

// StartRequest starts a new request on the connection.
func (s *Sealableconn) StartRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote, s.read = false, false
}

// Write writes to the connection unless it is sealed.
func (s *Sealableconn) Write(b []byte) (int, error) {
	s.mu.Lock()
	if s.sealed {
		s.mu.Unlock()
		return 0, errors.New("the connection is sealed: the request was abandoned before it was written")
	}
	s.wrote = true
	s.writes++
	s.mu.Unlock()
	n, err := s.Conn.Write(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes--
	if err != nil && !s.closed && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.reset = true
	}
	if s.writes == 0 {
		s.settle()
	}
	return n, err
}

// settle ends the waits for running writes.
func (s *Sealableconn) settle() {
	if s.settled != nil {
		close(s.settled)
		s.settled = nil
	}
}

// Read reads from the connection.
func (s *Sealableconn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.mu.Lock()
		s.read = true
		s.mu.Unlock()
	}
	if errors.Is(err, io.EOF) && s.wasReset() {
		return n, ErrReset
	}
	return n, err
}

// wasReset reports whether a write has shown that the other end has reset the connection. The
// result of a write that runs may be known only after that of the read.
func (s *Sealableconn) wasReset() bool {
	s.mu.Lock()
	if s.reset || s.closed || s.writes == 0 {
		defer s.mu.Unlock()
		return s.reset
	}
	if s.settled == nil {
		s.settled = make(chan struct{})
	}
	c := s.settled
	s.mu.Unlock()
	select {
	case <-c:
	case <-s.Clock.After(writeEndTimeout):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reset
}

// Close closes the connection. A write that fails because of that is no reset. If a request has no
// response, what of it has not arrived is lost: otherwise the kernel would still deliver it after a
// partition, long after the request was given up.
func (s *Sealableconn) Close() error {
	s.mu.Lock()
	s.closed = true
	s.settle()
	f := s.wrote && !s.read
	s.mu.Unlock()
	if l, ok := s.Conn.(interface{ SetLinger(seconds int) error }); ok && f {
		_ = l.SetLinger(0) // fails only on a closed connection
	}
	return s.Conn.Close()
}

// Seal prevents all further writes, and reports whether nothing was written
// since StartRequest.
func (s *Sealableconn) Seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return !s.wrote
}
