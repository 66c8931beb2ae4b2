// Package deadline ends contexts by the clock that is passed in.
package deadline

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// With returns a context that ends after d. The contexts of clockwork do not
// serve: with a fake clock, their Err waits until the context has ended.
func With(ctx context.Context, c clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	x, f := context.WithCancelCause(ctx)
	t := c.AfterFunc(d, func() { f(context.DeadlineExceeded) })
	return x, func() {
		t.Stop()
		f(context.Canceled)
	}
}

// Exceeded reports whether a context ended because its time ran out.
func Exceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
