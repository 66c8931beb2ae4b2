package burncounter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/burncounter"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/wire"
)

func newBurn(c clockwork.Clock) *burncounter.Burncounter {
	return &burncounter.Burncounter{
		Clock: c, Self: member.Member{Name: "h", Region: "north"},
		Latency:   func(string) time.Duration { return 100 * time.Millisecond },
		SlotLoads: func() []*wire.Load { return []*wire.Load{{Service: "s", Slots: 4, Busy: 1}} },
	}
}

// Each request is counted in exactly one field of Requestcounts. A request counts as
// admitted against the rate only if it used a token that was not returned.
func TestRecordCountsOutcomes(t *testing.T) {
	c := clockwork.NewFakeClockAt(time.Unix(6000, 0))
	b := newBurn(c)
	for _, r := range []struct {
		outcome, ran string
		took         time.Duration
	}{
		{outcome.Answered, outcome.RanYes, time.Millisecond},
		{outcome.Answered, outcome.RanYes, time.Second},
		{outcome.Left, outcome.RanUnknown, 0},
		{outcome.BackendFailed, outcome.RanUnknown, 0},
		{outcome.Broken, outcome.RanUnknown, 0},
		{outcome.NoCapacity, outcome.RanNo, 0},
		{outcome.StoreUnavailable, outcome.RanNo, 0},
		{outcome.OverRate, outcome.RanNo, 0},
		{outcome.Conflict, outcome.RanNo, 0},
	} {
		b.Record("a", "s", outcome.Outcome{Outcome: r.outcome, Ran: r.ran}, r.took)
	}
	b.Record("", "", outcome.Outcome{Outcome: outcome.KeyUnknown, Ran: outcome.RanNo}, 0)
	s := b.Counts()
	must.Eq(t, []requestcounts.Requestcounts{{
		Minute: 100, Account: "a", Service: "s", Answered: 2, Timely: 1, Left: 1, Failed: 2, Inside: 2, OverRate: 1, Mistaken: 1,
	}}, s.Tallies)
	must.Len(t, 1, s.Seconds)
	must.Eq(t, 5, s.Seconds[0].Admitted)
	must.Eq(t, 1, s.Seconds[0].Refused)
}

// BenchmarkRecord measures the cost that counting adds to each request.
func BenchmarkRecord(b *testing.B) {
	x := newBurn(clockwork.NewRealClock())
	o := outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	for b.Loop() {
		x.Record("a", "s", o, time.Millisecond)
	}
}

// BenchmarkSums measures the size and cost of one host's response to the report,
// with every account and service busy throughout the longest window.
func BenchmarkSums(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("Accounts%d", n), func(b *testing.B) {
			c := clockwork.NewFakeClockAt(time.Unix(600_000, 0))
			x := newBurn(c)
			o := outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
			for i := range 6 * 3600 {
				for a := range n {
					// One hour of counts by second, six hours by minute.
					if i >= 5*3600 || i%60 == 0 {
						x.Record(fmt.Sprintf("account-%02d", a), fmt.Sprintf("service-%d", i%4), o, time.Millisecond)
					}
				}
				c.Advance(time.Second)
			}
			l := 0
			for b.Loop() {
				t, err := codec.Marshal(x.Counts())
				must.NoError(b, err)
				l = len(t)
			}
			b.ReportMetric(float64(l), "bytes")
		})
	}
}
