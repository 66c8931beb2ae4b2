// Package clientbody reads the bodies of clients' requests for as long as the clients make
// progress.
package clientbody

import (
	"cmp"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/stalled"
)

const (
	// A client sends at least minBytes of its body, or the rest, in each progressTime that it
	// is waited for, or ProgressTime if that is set.
	progressTime = 10 * time.Second
	minBytes     = 1000
)

// ErrStalled is returned when the client stopped sending.
var ErrStalled = errors.New("the client stopped sending the request body")

// ErrLate is returned when the body did not arrive by its deadline.
var ErrLate = errors.New("the request body did not arrive in time")

// longAgo is a deadline that has passed, whatever the clock shows.
var longAgo = time.Unix(1, 0)

// Clientbody is the body of a request.
type Clientbody struct {
	// Body is read.
	Body io.Reader
	// SetReadDeadline sets the time at which a read of Body fails.
	SetReadDeadline func(t time.Time) error
	// Clock measures progress.
	Clock clockwork.Clock
	// Deadline is when the body must have arrived; zero means that it may take any time.
	Deadline time.Time
	// ProgressTime is shorter than usual if more than memory is occupied meanwhile; zero means 10 s.
	ProgressTime time.Duration
	// Stalled receives each wait for the client; nil receives none.
	Stalled *stalled.Stalled

	received int           // since progressTime began
	waited   time.Duration // in Read, since progressTime began
	evicted  atomic.Bool
}

// Read reads what has arrived of the body, or waits for more.
func (b *Clientbody) Read(p []byte) (int, error) {
	s := b.Clock.Now()
	l := s.Add(cmp.Or(b.ProgressTime, progressTime) - b.waited)
	if !b.Deadline.IsZero() && b.Deadline.Before(l) {
		l = b.Deadline
	}
	_ = b.SetReadDeadline(l) // fails only on a closed connection, of which Read tells
	d := b.Stalled.Add(s.Add(-b.waited), b.evict)
	n, err := b.read(p)
	d()
	b.waited += b.Clock.Since(s)
	b.received += n
	if b.received >= minBytes {
		b.received, b.waited = 0, 0
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		// Otherwise net/http, which then waits for the client to leave, would take the
		// deadline for that.
		_ = b.SetReadDeadline(time.Time{}) // as above
	}
	return n, b.reason(err)
}

// read reads Body unless the wait for it was ended.
func (b *Clientbody) read(p []byte) (int, error) {
	if b.evicted.Load() {
		return 0, ErrStalled
	}
	return b.Body.Read(p)
}

// evict ends the wait for the client.
func (b *Clientbody) evict() {
	b.evicted.Store(true)
	_ = b.SetReadDeadline(longAgo) // as in Read
}

// reason returns why reading failed.
func (b *Clientbody) reason(err error) error {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case !b.evicted.Load() && !b.Deadline.IsZero() && !b.Clock.Now().Before(b.Deadline):
		return ErrLate
	}
	return ErrStalled
}
