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

// rig is a pool before a real server on loopback.
type rig struct {
	pool    *Streampool
	clock   *clockwork.FakeClock
	address string
	dials   int
	// ended is told of each stream whose caller went away.
	ended chan error
}

func newRig(t *testing.T) *rig {
	var c net.ListenConfig
	l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &rig{clock: clockwork.NewFakeClock(), address: l.Addr().String(), ended: make(chan error, 10)}
	s := &peerserver.Peerserver{Listener: l, OnForward: r.echo}
	x, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(x) }()
	r.pool = &Streampool{
		Clock: r.clock, Idle: time.Second, PerAddress: 1, Dials: 1,
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

// echo answers a head with an end, and anything else by waiting for the caller.
func (r *rig) echo(s wire.DRPCPeer_ForwardStream) error {
	m, err := s.Recv()
	if err != nil {
		return err
	}
	if m.GetRequest() != nil {
		return s.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
	}
	<-s.Context().Done()
	r.ended <- s.Context().Err()
	return s.Context().Err()
}

// exchange passes one request and reports whether its connection was reused.
func (r *rig) exchange(t *testing.T, fresh, clean bool) bool {
	s, reused, done, err := r.pool.Open(t.Context(), r.address, fresh)
	must.NoError(t, err)
	must.NoError(t, s.Send(&wire.Frame{Part: &wire.Frame_Request{Request: &wire.Request{}}}))
	m, err := s.Recv()
	must.NoError(t, err)
	must.True(t, m.GetEnd())
	done(clean)
	return reused
}

// Requests to another region would each wait for a dial of 110 ms. A connection
// that carried a whole answer a moment ago is used again, but not one that broke
// off, is old, or when a fresh one is asked for.
func TestReuse(t *testing.T) {
	r := newRig(t)
	must.False(t, r.exchange(t, false, true))
	must.True(t, r.exchange(t, false, true))
	must.False(t, r.exchange(t, true, false))
	must.True(t, r.exchange(t, false, false))
	must.False(t, r.exchange(t, false, true))
	r.clock.Advance(2 * time.Second)
	must.False(t, r.exchange(t, false, true))
	must.EqOp(t, 4, r.dials)
}

// A caller that leaves cancels the request at the other end at once, else it
// would hold a slot there until its deadline.
func TestCancelReachesOtherEnd(t *testing.T) {
	r := newRig(t)
	x, f := context.WithCancel(t.Context())
	s, _, done, err := r.pool.Open(x, r.address, false)
	must.NoError(t, err)
	must.NoError(t, s.Send(&wire.Frame{Part: &wire.Frame_Alive{Alive: true}}))
	f()
	must.Error(t, <-r.ended)
	_, err = s.Recv()
	must.False(t, errors.Is(err, io.EOF))
	done(false)
}

// A region that went silent swallows dials. They must not pile up: one more is
// refused at once, before anything of its request was sent.
func TestBoundedDials(t *testing.T) {
	r := newRig(t)
	in := make(chan struct{})
	r.pool.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		close(in)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() {
		_, _, _, err := r.pool.Open(x, r.address, false)
		d <- err
	}()
	<-in
	_, _, _, err := r.pool.Open(t.Context(), r.address, false)
	must.ErrorIs(t, err, ErrBusy)
	f()
	must.Error(t, <-d)
}
