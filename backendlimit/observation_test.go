package backendlimit

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// A response that was in transit when a limit was set must not withdraw the limit. A
// response that was sent after the end of the limit must withdraw it.
func TestOverlappingResponses(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	limited := observation{perSecond: 4, sent: at(1), received: at(2)}
	for _, v := range []struct {
		name            string
		perSecond       float64
		asked, answered float64
		after           bool
	}{
		{"none, asked before the limit came in", unlimited, 1.5, 2.5, false},
		{"none, asked after the limit came in", unlimited, 2.1, 2.5, true},
		{"a higher one, asked before", 9, 1.5, 2.5, false},
		{"a higher one, asked after", 9, 2.1, 2.2, true},
		{"a lower one, asked before", 2, 1.5, 2.5, true},
		{"a lower one that overlaps, answered before", 2, 0.5, 1.5, true},
		{"a lower one, answered before the other was asked", 2, 0.5, 0.9, false},
		{"the same again", 4, 1.5, 2.5, true},
		{"the same, older", 4, 1.5, 1.9, false},
	} {
		w := observation{perSecond: v.perSecond, sent: at(v.asked), received: at(v.answered)}
		must.EqOp(t, v.after, w.supersedes(limited), must.Sprint(v.name))
	}
}

// If hosts passed on limits received from others, a limit that was withdrawn would stay
// in force.
func TestOnlyOwnObservationsAreReported(t *testing.T) {
	c := clockwork.NewFakeClock()
	b := backend.Backend{Name: "c1", Started: 3}
	host := func(name string) *Backendlimit {
		return &Backendlimit{
			Clock: c, Log: log.New(io.Discard), Self: name, Notify: func() {}, Window: window, Overage: overage, Slack: slack,
			Hosts: func() []member.Member { return []member.Member{{Name: "a"}, {Name: "b"}} },
		}
	}
	x, y := host("a"), host("b")
	x.Observe(b, c.Now(), []string{"0.5"}, true)
	c.Advance(time.Second)
	y.Merge("a", x.Observations())
	must.EqOp(t, 1, y.Limited())
	must.Len(t, 0, y.Observations())
	x.Observe(b, c.Now(), nil, true)
	c.Advance(time.Second)
	must.EqOp(t, 0, x.Limited())
	y.Merge("a", x.Observations())
	must.EqOp(t, 0, y.Limited())
	c.Advance(2 * reportFor)
	must.Len(t, 0, x.Observations())
}

// A backend server that is gone must not count as limited forever, and an invalid limit
// from another host must not hold requests back.
func TestStaleLimitIsRemoved(t *testing.T) {
	f := newFleet(1, 1)
	f.announce("0.5")
	f.clock.Advance(retention + time.Second)
	f.hosts[0].Observations()
	must.EqOp(t, 0, f.hosts[0].Limited())
	must.MapEmpty(t, f.hosts[0].limits)
	f.hosts[0].Merge("b", []*wire.BackendLimit{{Backend: "c1", PerSecond: proto.Float64(math.NaN())}})
	must.EqOp(t, 0, f.hosts[0].Limited())
}

// A response that has no limit header must not withdraw the limit if its request was not
// served. After a restart, a backend server of the same name must not keep the limit.
func TestFailureDoesNotWithdrawLimit(t *testing.T) {
	f := newFleet(1, 1)
	f.announce("0.5")
	f.hosts[0].Observe(f.backend, f.clock.Now(), nil, false)
	must.EqOp(t, 1, f.hosts[0].Limited())
	must.False(t, f.hosts[0].Allow(f.backend))
	b := f.backend
	b.Started++
	must.True(t, f.hosts[0].Allow(b))
}
