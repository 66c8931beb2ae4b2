// Package supervisor keeps the components of a process running.
package supervisor

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/child"
)

// Supervisor starts its children in order and restarts a failed one after a
// delay. It stops them in reverse order, one at a time, so that no component
// outlives one that it depends on. Run has the signature of Child.Run, so
// supervisors can form a tree.
type Supervisor struct {
	// Clock paces the restarts.
	Clock clockwork.Clock
	// Log receives one line for each failed child.
	Log *log.Logger
	// Backoff is the delay before a failed child is restarted. It doubles with
	// each consecutive failure, so that a component that cannot work uses few
	// resources.
	Backoff time.Duration
	// MaxBackoff bounds the delay. After a run longer than MaxBackoff, the next
	// delay is Backoff again.
	MaxBackoff time.Duration
	// Children are the components, in an order in which each depends only on
	// those before it.
	Children []child.Child
}

// Run runs the children until ctx ends and every child has returned.
func (s *Supervisor) Run(ctx context.Context) error {
	n := len(s.Children)
	c := make([]context.CancelFunc, n)
	d := make([]chan struct{}, n)
	for i := range s.Children {
		// The children's contexts do not end with ctx. Otherwise all children
		// would stop at once, and the requests that the last children are still
		// draining would be aborted.
		x, f := context.WithCancel(context.WithoutCancel(ctx))
		c[i] = f
		d[i] = make(chan struct{})
		go s.superviseChild(x, s.Children[i], d[i])
	}
	<-ctx.Done()
	for i := n - 1; i >= 0; i-- {
		c[i]()
		<-d[i]
	}
	return nil
}

func (s *Supervisor) superviseChild(ctx context.Context, c child.Child, done chan<- struct{}) {
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
