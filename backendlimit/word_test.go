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

// An answer that was on its way when a limit was named withdraws it, or one that was
// given after its end does not.
func TestAnswersThatOverlap(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	limited := word{perSecond: 4, asked: at(1), answered: at(2)}
	for _, v := range []struct {
		name            string
		perSecond       float64
		asked, answered float64
		after           bool
	}{
		{"none, asked before the limit came in", none, 1.5, 2.5, false},
		{"none, asked after the limit came in", none, 2.1, 2.5, true},
		{"a higher one, asked before", 9, 1.5, 2.5, false},
		{"a higher one, asked after", 9, 2.1, 2.2, true},
		{"a lower one, asked before", 2, 1.5, 2.5, true},
		{"a lower one that overlaps, answered before", 2, 0.5, 1.5, true},
		{"a lower one, answered before the other was asked", 2, 0.5, 0.9, false},
		{"the same again", 4, 1.5, 2.5, true},
		{"the same, older", 4, 1.5, 1.9, false},
	} {
		w := word{perSecond: v.perSecond, asked: at(v.asked), answered: at(v.answered)}
		must.EqOp(t, v.after, w.after(limited), must.Sprint(v.name))
	}
}

// Hosts that pass on what they heard keep a limit alive that was withdrawn.
func TestOnlyOwnAnswersAreTold(t *testing.T) {
	c := clockwork.NewFakeClock()
	b := backend.Backend{Name: "c1", Started: 3}
	host := func(name string) *Backendlimit {
		return &Backendlimit{
			Clock: c, Log: log.New(io.Discard), Self: name, News: func() {}, Window: window, Overage: overage, Slack: slack,
			Hosts: func() []member.Member { return []member.Member{{Name: "a"}, {Name: "b"}} },
		}
	}
	x, y := host("a"), host("b")
	x.Answered(b, c.Now(), []string{"0.5"}, true)
	c.Advance(time.Second)
	y.Hear("a", x.Tell())
	must.EqOp(t, 1, y.Limited())
	must.Len(t, 0, y.Tell())
	x.Answered(b, c.Now(), nil, true)
	c.Advance(time.Second)
	must.EqOp(t, 0, x.Limited())
	y.Hear("a", x.Tell())
	must.EqOp(t, 0, y.Limited())
	c.Advance(2 * tellFor)
	must.Len(t, 0, x.Tell())
}

// A backend server that is gone counts as limited for ever, or another host's word that is
// no limit holds requests back.
func TestLimitIsForgotten(t *testing.T) {
	f := newFleet(1, 1)
	f.name("0.5")
	f.clock.Advance(forgetAfter + time.Second)
	f.hosts[0].Tell()
	must.EqOp(t, 0, f.hosts[0].Limited())
	must.MapEmpty(t, f.hosts[0].limits)
	f.hosts[0].Hear("b", []*wire.BackendLimit{{Backend: "c1", PerSecond: proto.Float64(math.NaN())}})
	must.EqOp(t, 0, f.hosts[0].Limited())
}

// A request that was not served, answered without a limit, withdraws the limit, or a
// backend server that starts anew under its name keeps it.
func TestFailureWithdrawsNothing(t *testing.T) {
	f := newFleet(1, 1)
	f.name("0.5")
	f.hosts[0].Answered(f.backend, f.clock.Now(), nil, false)
	must.EqOp(t, 1, f.hosts[0].Limited())
	must.False(t, f.hosts[0].Allow(f.backend))
	b := f.backend
	b.Started++
	must.True(t, f.hosts[0].Allow(b))
}
