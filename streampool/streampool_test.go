package streampool

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/wire"
)

// fixture is a pool with a real server on loopback.
type fixture struct {
	pool    *Streampool
	clock   *clockwork.FakeClock
	address string
	dials   int
	// canceled receives the error of each stream whose caller went away.
	canceled chan error
}

func newFixture(t *testing.T) *fixture {
	var c net.ListenConfig
	l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &fixture{clock: clockwork.NewFakeClock(), address: l.Addr().String(), canceled: make(chan error, 10)}
	s := &peerserver.Peerserver{Listener: l, OnForward: r.echo}
	x, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(x) }()
	r.pool = &Streampool{
		Clock: r.clock, Idle: time.Second, PerAddress: 1, MaxDials: 1,
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			r.dials++
			var n net.Dialer
			return n.DialContext(ctx, "tcp", a)
		},
	}
	t.Cleanup(func() {
		r.pool.Close()
		f()
		must.NoError(t, <-d)
	})
	return r
}

// echo responds to a request frame with an end frame. After any other frame it waits
// until the caller goes away.
func (r *fixture) echo(s wire.DRPCPeer_ForwardStream) error {
	m, err := s.Recv()
	if err != nil {
		return err
	}
	if m.GetRequest() != nil {
		return s.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
	}
	<-s.Context().Done()
	r.canceled <- s.Context().Err()
	return s.Context().Err()
}

// sendRequest sends one request and reports whether its connection was reused.
func (r *fixture) sendRequest(t *testing.T, fresh, clean bool) bool {
	s, reused, done, err := r.pool.Open(t.Context(), r.address, fresh)
	must.NoError(t, err)
	must.NoError(t, s.Send(&wire.Frame{Part: &wire.Frame_Request{Request: &wire.Request{}}}))
	m, err := s.Recv()
	must.NoError(t, err)
	must.True(t, m.GetEnd())
	done(clean)
	return reused
}

// Without reuse, each request to another region waits for a dial of 110 ms. A
// connection that recently carried a complete response is reused, but not after a
// truncated response, after the idle time, or if a fresh connection is requested.
func TestConnectionReuse(t *testing.T) {
	r := newFixture(t)
	must.False(t, r.sendRequest(t, false, true))
	must.True(t, r.sendRequest(t, false, true))
	must.False(t, r.sendRequest(t, true, false))
	must.True(t, r.sendRequest(t, false, false))
	must.False(t, r.sendRequest(t, false, true))
	r.clock.Advance(2 * time.Second)
	must.False(t, r.sendRequest(t, false, true))
	must.EqOp(t, 4, r.dials)
}

// A caller that goes away cancels the request at the other host at once. Otherwise the
// request would occupy a slot there until its deadline.
func TestCancelReachesOtherEnd(t *testing.T) {
	r := newFixture(t)
	x, f := context.WithCancel(t.Context())
	s, _, done, err := r.pool.Open(x, r.address, false)
	must.NoError(t, err)
	must.NoError(t, s.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}))
	f()
	must.Error(t, <-r.canceled)
	_, err = s.Recv()
	must.False(t, errors.Is(err, io.EOF))
	done(false)
}

// Dials to a region that has gone silent block. Such dials must not accumulate: a dial
// in excess of MaxDials fails at once, before any part of its request is sent.
func TestBoundedDials(t *testing.T) {
	r := newFixture(t)
	dialStarted := make(chan struct{})
	r.pool.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialStarted)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() {
		_, _, _, err := r.pool.Open(x, r.address, false)
		d <- err
	}()
	<-dialStarted
	_, _, _, err := r.pool.Open(t.Context(), r.address, false)
	must.ErrorIs(t, err, ErrBusy)
	f()
	must.Error(t, <-d)
}

// firedClock is a clock whose timers have fired when they are stopped, and whose functions
// run later, as on a host that gets no processor time.
type firedClock struct {
	clockwork.Clock
	late []func()
}

type firedTimer struct{ clockwork.Timer }

func (firedTimer) Stop() bool { return false }

func (c *firedClock) AfterFunc(_ time.Duration, f func()) clockwork.Timer {
	c.late = append(c.late, f)
	return firedTimer{}
}

// Guards against a timer of one stream that closes the connection when the next stream has
// begun on it.
func TestLateTimerClosesNoReusedConnection(t *testing.T) {
	r := newFixture(t)
	k := &firedClock{Clock: r.clock}
	r.pool.Clock = k
	must.False(t, r.sendRequest(t, false, true))
	s, _, done, err := r.pool.Open(t.Context(), r.address, false)
	must.NoError(t, err)
	for _, f := range k.late {
		f()
	}
	must.NoError(t, s.Send(&wire.Frame{Part: &wire.Frame_Request{Request: &wire.Request{}}}))
	_, err = s.Recv()
	must.NoError(t, err)
	done(true)
}
