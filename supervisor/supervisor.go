// Package supervisor keeps the parts of a process running.
package supervisor

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/child"
)

// Supervisor starts its children in order, starts a failed one again after a
// pause, and stops them in reverse order, one after another, so that a part
// never outlives what it depends on. Its Run fits a child, so supervisors form
// a tree.
type Supervisor struct {
	// Clock paces the restarts.
	Clock clockwork.Clock
	// Log receives one line for each failed child.
	Log *log.Logger
	// Backoff is the pause before a failed child starts again. It doubles with
	// each failure in a row, so that a part that cannot work costs little.
	Backoff time.Duration
	// MaxBackoff bounds the pause. A child that has run for longer than that
	// counts as sound, and its next pause is Backoff again.
	MaxBackoff time.Duration
	// Children are the parts, those that others depend on first.
	Children []child.Child
}

// Run works until ctx ends and every child has reported its end.
func (s *Supervisor) Run(ctx context.Context) error {
	n := len(s.Children)
	c := make([]context.CancelFunc, n)
	d := make([]chan struct{}, n)
	for i := range s.Children {
		// The children's contexts do not descend from ctx: a shared cancel
		// would end all of them at once and cut the requests that the last
		// ones still drain.
		x, f := context.WithCancel(context.WithoutCancel(ctx))
		c[i] = f
		d[i] = make(chan struct{})
		go s.keep(x, s.Children[i], d[i])
	}
	<-ctx.Done()
	for i := n - 1; i >= 0; i-- {
		c[i]()
		<-d[i]
	}
	return nil
}

func (s *Supervisor) keep(ctx context.Context, c child.Child, done chan<- struct{}) {
	defer close(done)
	p := s.Backoff
	for n := 1; ctx.Err() == nil; n++ {
		t := s.Clock.Now()
		err := c.Run(ctx)
		if ctx.Err() != nil || err == nil {
			return
		}
		if s.Clock.Since(t) > s.MaxBackoff {
			p = s.Backoff
		}
		s.Log.Error("child failed", "Child", c.Name, "Failures", n, "Error", err, "Wait", p)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(p):
		}
		p = min(2*p, max(s.MaxBackoff, s.Backoff))
	}
}
