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
		Self:    func() member.Member { return member.Member{Name: "self", PeerAddress: "self:1"} },
		Listed:  func(context.Context) ([]member.Member, error) { return nil, nil },
		Compose: func(*wire.Heartbeat) {},
		Heard:   func(*wire.Heartbeat, time.Time) {},
	}
}

func beat(name string, incarnation, sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{From: &wire.Host{Name: name, Incarnation: incarnation, PeerAddress: name + ":1"}, Sequence: sequence}
}

// One peer's connection has gone silent: a call on it does not return, not even
// when it is canceled. Callers must not notice. The other peer is heard at each
// interval as before, since each peer has a goroutine of its own.
func TestSilentPeerSlowsNobody(t *testing.T) {
	c := clockwork.NewFakeClock()
	m := newMembership(c)
	m.Seeds = []string{"silent:1", "well:1"}
	stuck, heard := make(chan struct{}), make(chan struct{})
	m.Beat = func(ctx context.Context, address string, _ *wire.Heartbeat) (*wire.Heartbeat, error) {
		if address != "well:1" {
			<-stuck
			return nil, io.EOF
		}
		select {
		case heard <- struct{}{}:
		case <-ctx.Done():
		}
		return beat("well", 1, 1), nil
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

// A host is replaced by a process of the same name. Messages of the old process
// that were under way arrive after the new one's. They must not bring it back:
// its parts are no longer its own.
func TestReplacedProcessStaysGone(t *testing.T) {
	m := newMembership(clockwork.NewFakeClock())
	m.Receive(beat("a", 1, 7))
	m.Receive(beat("a", 2, 1))
	m.Receive(beat("a", 1, 8))
	must.Eq(t, 2, m.Alive()[0].Incarnation)
}

// Heartbeats overtake each other. The older one must not undo what the newer
// one told: here that the host is leaving.
func TestOldHeartbeatChangesNothing(t *testing.T) {
	m := newMembership(clockwork.NewFakeClock())
	h := beat("a", 1, 5)
	h.From.Leaving = true
	m.Receive(h)
	m.Receive(beat("a", 1, 4))
	must.True(t, m.Leaves("a"))
}

// The platform's list names a process that died and one under another
// incarnation. It is a hint about processes, not about names.
func TestListedProcess(t *testing.T) {
	c := clockwork.NewFakeClock()
	m := newMembership(c)
	m.Listed = func(context.Context) ([]member.Member, error) {
		return []member.Member{{Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 3, Leaving: true}}, nil
	}
	m.Beat = func(context.Context, string, *wire.Heartbeat) (*wire.Heartbeat, error) { return nil, io.EOF }
	x, f := context.WithCancel(t.Context())
	d := make(chan error)
	go func() { d <- m.Run(x) }()
	must.NoError(t, c.BlockUntilContext(t.Context(), 2))
	must.False(t, m.OnList(holder.Holder{Name: "a", Incarnation: 1}))
	must.True(t, m.OnList(holder.Holder{Name: "a", Incarnation: 2}))
	must.False(t, m.OnList(holder.Holder{Name: "b", Incarnation: 3}))
	f()
	must.NoError(t, <-d)
}
