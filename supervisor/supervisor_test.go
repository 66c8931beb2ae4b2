package supervisor_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/supervisor"
)

// trace records the starts and ends of children in order.
type trace chan string

func (r trace) child(name string, run func(ctx context.Context) error) child.Child {
	return child.Child{Name: name, Run: func(ctx context.Context) error {
		r <- "start " + name
		err := run(ctx)
		r <- "end " + name
		return err
	}}
}

func wait(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func run(t *testing.T, s *supervisor.Supervisor) (stop func()) {
	t.Helper()
	x, c := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(x) }()
	return func() {
		c()
		must.NoError(t, <-d)
	}
}

// A component fails repeatedly, for example because its port is in use. The
// delay before each restart must grow up to a bound, so that a broken component
// uses few resources. After a long run, the delay must be short again. Each failure
// must log one line.
func TestRestartWithBackoff(t *testing.T) {
	c := clockwork.NewFakeClock()
	r := make(trace, 100)
	var b bytes.Buffer
	good := make(chan struct{})
	s := &supervisor.Supervisor{
		Clock: c, Log: log.NewWithOptions(&b, log.Options{Formatter: log.LogfmtFormatter}),
		Backoff: time.Second, MaxBackoff: 4 * time.Second,
		Children: []child.Child{r.child("part", func(context.Context) error {
			select {
			case <-good:
				c.Advance(time.Hour)
				return errors.New("after a long run")
			default:
				return errors.New("no port")
			}
		})},
	}
	stop := run(t, s)
	for _, d := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		must.Eq(t, "start part", <-r)
		must.Eq(t, "end part", <-r)
		must.NoError(t, c.BlockUntilContext(context.Background(), 1))
		c.Advance(d - 1)
		must.Eq(t, 0, len(r))
		if d == 4*time.Second && strings.Count(b.String(), "child failed") == 4 {
			close(good)
		}
		c.Advance(1)
	}
	must.Eq(t, "start part", <-r)
	must.Eq(t, "end part", <-r)
	must.NoError(t, c.BlockUntilContext(context.Background(), 1))
	stop()
	must.Eq(t, 5, strings.Count(b.String(), "child failed"))
	must.StrContains(t, b.String(), "Wait=4s")
	must.True(t, strings.HasSuffix(strings.TrimSpace(b.String()), "Wait=1s"))
}

// Components stop in reverse order of their start. Each component stops only after
// the components that depend on it have ended, so that a request in flight can
// still use it. A component that has returned without an error is not restarted.
func TestStopOrder(t *testing.T) {
	r := make(trace, 100)
	s := &supervisor.Supervisor{
		Clock: clockwork.NewFakeClock(), Log: log.New(new(bytes.Buffer)), Backoff: time.Second, MaxBackoff: time.Second,
		Children: []child.Child{
			r.child("store", wait),
			r.child("once", func(context.Context) error { return nil }),
			r.child("callers", wait),
		},
	}
	stop := run(t, s)
	n := make(map[string]bool)
	for range 4 {
		n[<-r] = true
	}
	must.Eq(t, map[string]bool{"start store": true, "start once": true, "end once": true, "start callers": true}, n)
	stop()
	must.Eq(t, "end callers", <-r)
	must.Eq(t, "end store", <-r)
	must.Eq(t, 0, len(r))
}

// A supervisor can be a child of another one. The whole subtree ends before the
// component that it depends on.
func TestNested(t *testing.T) {
	r := make(trace, 100)
	in := &supervisor.Supervisor{
		Clock: clockwork.NewFakeClock(), Log: log.New(new(bytes.Buffer)), Backoff: time.Second, MaxBackoff: time.Second,
		Children: []child.Child{r.child("peers", wait), r.child("callers", wait)},
	}
	out := *in
	out.Children = []child.Child{r.child("config", wait), {Name: "serving", Run: in.Run}}
	stop := run(t, &out)
	for range 3 {
		<-r
	}
	stop()
	for _, w := range []string{"end callers", "end peers", "end config"} {
		must.Eq(t, w, <-r)
	}
}
