package membership_test

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/wire"
)

const interval = 200 * time.Millisecond

func newMembership(c clockwork.Clock) *membership.Membership {
	return &membership.Membership{
		Clock: c, Log: log.New(io.Discard), Interval: interval, Hold: 3 * time.Second,
		Self:          func() member.Member { return member.Member{Name: "self", PeerAddress: "self:1"} },
		ListHosts:     func(context.Context) ([]member.Member, error) { return nil, nil },
		FillHeartbeat: func(*wire.Heartbeat) {},
		OnHeartbeat:   func(*wire.Heartbeat, time.Time) {},
	}
}

func newHeartbeat(name string, incarnation, sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{From: &wire.Host{Name: name, Incarnation: incarnation, PeerAddress: name + ":1"}, Sequence: sequence}
}

// The connection to one peer no longer responds: a call on it does not return, not
// even when it is canceled. Heartbeats to the other peer must continue at each
// interval, since each peer has its own goroutine.
func TestSilentPeerDelaysNoOther(t *testing.T) {
	c := clockwork.NewFakeClock()
	m := newMembership(c)
	m.Seeds = []string{"silent:1", "well:1"}
	stuck, heard := make(chan struct{}), make(chan struct{})
	m.SendHeartbeat = func(ctx context.Context, address string, _ *wire.Heartbeat) (*wire.Heartbeat, error) {
		if address != "well:1" {
			<-stuck
			return nil, io.EOF
		}
		select {
		case heard <- struct{}{}:
		case <-ctx.Done():
		}
		return newHeartbeat("well", 1, 1), nil
	}
	x, f := context.WithCancel(t.Context())
	d := make(chan error)
	go func() { d <- m.Run(x) }()
	for n := 0; n < 10; {
		select {
		case <-heard:
			n++
		default:
			c.Advance(interval)
			runtime.Gosched()
		}
	}
	close(stuck)
	f()
	must.NoError(t, <-d)
}

// A host is replaced by a process of the same name. Delayed messages of the old
// process arrive after those of the new one. They must not restore the old process:
// it no longer owns its parts of the limits.
func TestHeartbeatOfReplacedProcessIsIgnored(t *testing.T) {
	m := newMembership(clockwork.NewFakeClock())
	m.Receive(newHeartbeat("a", 1, 7))
	m.Receive(newHeartbeat("a", 2, 1))
	m.Receive(newHeartbeat("a", 1, 8))
	must.Eq(t, 2, m.Alive()[0].Incarnation)
}

// Heartbeats may arrive out of order. An older heartbeat must not overwrite the
// state from a newer one, which in this test reports that the host is leaving.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	m := newMembership(clockwork.NewFakeClock())
	h := newHeartbeat("a", 1, 5)
	h.From.Leaving = true
	m.Receive(h)
	m.Receive(newHeartbeat("a", 1, 4))
	must.True(t, m.IsLeaving("a"))
}

// The platform's list contains a process that is leaving, and a newer
// incarnation of a replaced process. Neither the leaving nor the replaced
// process counts as listed, because an entry describes a process, not a name.
func TestOnListChecksIncarnation(t *testing.T) {
	c := clockwork.NewFakeClock()
	m := newMembership(c)
	m.ListHosts = func(context.Context) ([]member.Member, error) {
		return []member.Member{{Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 3, Leaving: true}}, nil
	}
	m.SendHeartbeat = func(context.Context, string, *wire.Heartbeat) (*wire.Heartbeat, error) { return nil, io.EOF }
	x, f := context.WithCancel(t.Context())
	d := make(chan error)
	go func() { d <- m.Run(x) }()
	must.NoError(t, c.BlockUntilContext(t.Context(), 2))
	must.False(t, m.IsListed(holder.Holder{Name: "a", Incarnation: 1}))
	must.True(t, m.IsListed(holder.Holder{Name: "a", Incarnation: 2}))
	must.False(t, m.IsListed(holder.Holder{Name: "b", Incarnation: 3}))
	f()
	must.NoError(t, <-d)
}
