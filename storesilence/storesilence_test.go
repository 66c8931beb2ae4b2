package storesilence

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// seconds is a list of times in seconds since the start.
type seconds []float64

// contains reports whether d is one of the times in l.
func (l seconds) contains(d time.Duration) bool {
	return slices.ContainsFunc(l, func(v float64) bool { return d == time.Duration(v*float64(time.Second)) })
}

// missingDuration returns for how long ChangesMissing reports true in 20 s if the store
// answers at the times in answers, and answers requests for the entries at the times in
// entries.
func missingDuration(answers, entries seconds) (missing time.Duration) {
	c := clockwork.NewFakeClock()
	b := c.Now()
	var answered, read time.Time
	s := &Storesilence{
		Clock: c, Log: log.New(io.Discard), MaxAge: 3900 * time.Millisecond, LongSilence: 5 * time.Second, Settle: 2 * time.Second,
		EntriesDelay: 400 * time.Millisecond,
		Age:          func() (time.Duration, bool) { return c.Since(answered), !answered.IsZero() },
		EntriesAge:   func() (time.Duration, bool) { return c.Since(read), !read.IsZero() },
	}
	for c.Since(b) < 20*time.Second {
		c.Advance(checkInterval)
		if answers.contains(c.Since(b)) {
			answered = c.Now()
		}
		if entries.contains(c.Since(b)) {
			read = c.Now()
		}
		if s.ChangesMissing() {
			missing += checkInterval
		}
	}
	return missing
}

// Guards against two failures: after a long silence of the store, changes made during
// the silence aren't considered missing, and a short silence still restricts requests
// after its end.
func TestUnheard(t *testing.T) {
	regular := seconds{0.1, 1, 4, 7, 10, 13, 16, 19}
	for _, v := range []struct {
		name             string
		answers, entries seconds
		missing          time.Duration
	}{
		{"store never answered", nil, nil, 20 * time.Second},
		{"no silence", regular, regular, 0},
		{"silence too short for a change", seconds{0.1, 1, 4.9, 8, 10, 13, 16, 19}, regular, 0},
		{"silence too short for missing changes after it", seconds{0.1, 1, 5.8, 8, 11, 14, 17, 19}, regular, 900 * time.Millisecond},
		{"long silence", seconds{0.1, 1, 9, 12, 15, 18}, seconds{0.1, 1, 9.5, 12, 15, 18}, 6100 * time.Millisecond},
		{"entries received late after a long silence", seconds{0.1, 1, 9, 12, 15, 18}, seconds{0.1, 1, 12.5, 15, 18}, 7900 * time.Millisecond},
	} {
		must.EqOp(t, v.missing, missingDuration(v.answers, v.entries), must.Sprint(v.name))
	}
}
