package separation_test

import (
	"context"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/wire"
)

// The platform's host list is outdated for a minute: the list contains host "dead", which
// no longer runs, and lacks host "new", which runs. A look-up on host "a" must return the
// hosts that answer heartbeats: "c", which is on the list, and "new", which the heartbeats
// of "c" mention. The look-up must never return "dead".
func TestOutdatedHostList(t *testing.T) {
	c := clockwork.NewFakeClock()
	ctx, f := context.WithCancel(context.Background())
	var mu sync.Mutex
	beats := make(map[string]int)
	m := &membership.Membership{
		Clock: c, Log: log.New(io.Discard), Interval: 200 * time.Millisecond, Hold: 3 * time.Second,
		Self:          func() member.Member { return member.Member{Name: "a", PeerAddress: "a"} },
		FillHeartbeat: func(*wire.Heartbeat) {}, OnHeartbeat: func(*wire.Heartbeat, time.Time) {},
		ListHosts: func(context.Context) ([]member.Member, error) {
			return []member.Member{{Name: "dead", PeerAddress: "dead"}, {Name: "c", PeerAddress: "c"}}, nil
		},
		SendHeartbeat: func(_ context.Context, to string, _ *wire.Heartbeat) (*wire.Heartbeat, error) {
			mu.Lock()
			defer mu.Unlock()
			beats[to]++
			if to == "dead" {
				return nil, errUnreachable
			}
			return &wire.Heartbeat{
				From:  &wire.Host{Name: to, PeerAddress: to, CallerAddress: to, Region: "lagos", Incarnation: 1},
				Known: []*wire.Host{{Name: "new", PeerAddress: "new"}}, Sequence: uint64(beats[to]),
			}, nil
		},
	}
	d := make(chan error, 1)
	go func() { d <- m.Run(ctx) }()
	// On a busy machine the fake clock may run ahead of the goroutines that send
	// heartbeats by more than Hold, so that live hosts are missing for a while. The
	// loop therefore waits for both hosts, and checks each time that no other host
	// is returned.
	tried := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return beats["dead"] > 0
	}
	for h := []member.Member(nil); len(h) < 2 || !tried(); {
		c.Advance(100 * time.Millisecond)
		runtime.Gosched()
		h, _ = roster.New(m.Alive(), func(string) int { return 0 }).Hosts("lagos")
		for _, v := range h {
			must.SliceContains(t, []string{"c", "new"}, v.Name)
		}
	}
	f()
	must.NoError(t, <-d)
}
