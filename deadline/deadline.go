// Package deadline creates contexts whose deadline is measured by a given clock.
package deadline

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// timedContext is a context that reports its deadline: a slot on loan from another
// host is used only by requests that are known to end within the loan.
type timedContext struct {
	context.Context

	at time.Time
}

// Deadline returns when the context ends at the latest.
func (t timedContext) Deadline() (time.Time, bool) {
	if p, ok := t.Context.Deadline(); ok && p.Before(t.at) {
		return p, true
	}
	return t.at, true
}

// With returns a context that ends after d. The contexts of clockwork are not
// suitable: with a fake clock, their Err blocks until the context has ended.
func With(ctx context.Context, c clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	x, f := context.WithCancelCause(ctx)
	t := c.AfterFunc(d, func() { f(context.DeadlineExceeded) })
	return timedContext{Context: x, at: c.Now().Add(d)}, func() {
		t.Stop()
		f(context.Canceled)
	}
}

// Exceeded reports whether a context ended because its deadline passed.
func Exceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
