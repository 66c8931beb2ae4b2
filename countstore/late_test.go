package countstore_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/countstore"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/requestcounts"
)

// Guards against counts that are lost or stored twice when the store performs a write without an
// answer late, after the next one or before it.
func TestLateWriteOfCounts(t *testing.T) {
	for _, before := range []bool{false, true} {
		c := clockwork.NewFakeClockAt(time.Unix(60_000_000, 0))
		s := &faultyStore{objects: make(map[string][]byte), puts: make(chan struct{}, 10)}
		p := s.platform()
		var late *commit.Commit // the first one
		commits := 0
		p.Commit = func(_ context.Context, v commit.Commit) (bool, error) {
			commits++
			if commits == 1 {
				late = &v
				return false, errors.New("no answer")
			}
			if before && commits == 2 {
				s.table.Commit(*late)
			}
			return s.table.Commit(v), nil
		}
		v := hostcounts.Hostcounts{Host: "h", Incarnation: 7, Region: "north"}
		k := &countstore.Countstore{
			Clock: c, Log: log.New(io.Discard), Store: p, Interval: time.Minute,
			Counts: func() hostcounts.Hostcounts {
				v.At = c.Now()
				return v
			},
		}
		count := func(n uint64) {
			v.Tallies = append(v.Tallies, requestcounts.Requestcounts{Minute: c.Now().Unix() / 60, Account: "a", Service: "s", Answered: n})
		}
		x, f := context.WithCancel(t.Context())
		d := make(chan error, 1)
		count(1)
		go func() { d <- k.Run(x) }()
		must.NoError(t, c.BlockUntilContext(x, 1))
		c.Advance(time.Minute) // the first commit, without an answer
		must.NoError(t, c.BlockUntilContext(x, 1))
		count(2)
		f()
		must.NoError(t, <-d)
		s.table.Commit(*late)
		r, err := k.Load(t.Context(), func(string, uint64) bool { return false })
		must.NoError(t, err)
		var a uint64
		for _, y := range r {
			for _, z := range y.Tallies {
				a += z.Answered
			}
		}
		must.EqOp(t, 3, a, must.Sprintf("performed before the next one: %v", before))
	}
}
