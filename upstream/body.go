package upstream

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// body hides the type of the caller's body from net/http, which repeats a
// request by itself when it sees no body or one that it can read again.
type body struct {
	reader  io.Reader
	touched *atomic.Bool

	mu     sync.Mutex
	sealed bool
}

// Read reads the caller's body.
func (b *body) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	if !b.touch() {
		return 0, errors.New("the request has ended")
	}
	return b.reader.Read(p)
}

// Close leaves the caller's body to net/http's server, which owns it.
func (b *body) Close() error {
	return nil
}

// touch claims the body for this request. It is one step with seal, so that a
// transport that still winds up cannot take bytes from the next try.
func (b *body) touch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return false
	}
	if b.touched != nil {
		b.touched.Store(true)
	}
	return true
}

func (b *body) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
}
