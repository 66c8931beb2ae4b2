package upstream

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// body hides the type of the caller's body from net/http. Otherwise net/http would by
// itself repeat requests that have no body and requests whose body it can read again.
type body struct {
	reader      io.Reader
	readStarted *atomic.Bool

	mu     sync.Mutex
	sealed bool
	failed bool // reading the caller's body failed
}

// Read reads the caller's body until seal is called.
func (b *body) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	if !b.claim() {
		return 0, errors.New("the request has ended")
	}
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.failed = true
		b.mu.Unlock()
	}
	return n, err
}

// hasFailed reports whether reading the caller's body has failed.
func (b *body) hasFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// Close does nothing: the server side of net/http owns the caller's body.
func (b *body) Close() error {
	return nil
}

// claim marks the caller's body as read and reports whether this request may still read
// it. claim and seal use the same lock, so that a transport that is still shutting down
// cannot read bytes that the next attempt has to send.
func (b *body) claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return false
	}
	if b.readStarted != nil {
		b.readStarted.Store(true)
	}
	return true
}

// seal prevents all further reads of the caller's body.
func (b *body) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
}

// responseBody is the body of a response. The caller's body isn't read after it was closed.
type responseBody struct {
	io.ReadCloser
	seal func()
}

// Close ends the request.
func (b *responseBody) Close() error {
	b.seal()
	return b.ReadCloser.Close()
}
