package ticketstore_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/ticketstore"
)

func newTicket(c clockwork.Clock) *ticketstore.Ticketstore {
	return &ticketstore.Ticketstore{
		Clock: c, Host: "a", Incarnation: 7, Lifetime: time.Minute, MaxAnswerBytes: 100, MaxUsed: 4,
		HostAddress: func(string, uint64) (string, bool) { return "", false },
	}
}

// TestTicketRunsOnce guards against running a ticket again after its claim has
// been removed, for example when a client that was offline for an hour repeats
// a request. With any order of claims, ends and expiries a ticket runs at most
// once, except that a void one may run again.
func TestTicketRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		x := newTicket(c)
		var ids []string
		ran := make(map[string]int)
		open := make(map[string]record.Record)
		for range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ids = append(ids, x.Issue("camp", 1)...)
			case 1:
				if len(ids) == 0 {
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if _, ok := open[id]; ok {
					continue // Begin would wait for the running attempt
				}
				r, o := x.Begin(t.Context(), "camp", id, "attempt", "digest")
				if o.Outcome == "" {
					ran[id]++
					must.Eq(t, 1, ran[id])
					open[id] = r
				}
			case 2:
				for id, r := range open {
					r.State = rapid.SampledFrom([]string{record.Done, record.Void, record.Unknown}).Draw(t, "state")
					r.Body = make([]byte, 40)
					if r.State == record.Void {
						ran[id]--
					}
					x.End("camp", id, r)
					delete(open, id)
					break
				}
			case 3:
				c.Advance(time.Duration(rapid.IntRange(0, 70).Draw(t, "seconds")) * time.Second)
			}
		}
	})
}

// TestAnswersBeyondMemory checks that tickets still count as run when their
// answers exceed the memory limit; only the answer is not replayed.
func TestAnswersBeyondMemory(t *testing.T) {
	x := newTicket(clockwork.NewFakeClock())
	for i, id := range x.Issue("camp", 3) {
		r, o := x.Begin(t.Context(), "camp", id, "attempt", "digest")
		must.Eq(t, "", o.Outcome)
		r.State = record.Done
		r.Body = make([]byte, 40)
		x.End("camp", id, r)
		_, o = x.Begin(t.Context(), "camp", id, "attempt", "digest")
		want := outcome.Answered
		if i == 2 {
			want = outcome.AnswerNotKept
		}
		must.Eq(t, want, o.Outcome)
		must.Eq(t, outcome.RanYes, o.Ran)
	}
}
