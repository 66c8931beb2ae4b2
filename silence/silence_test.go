package silence

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// times are in seconds since the start.
type times []float64

// in reports whether a time is among them.
func (l times) in(d time.Duration) bool {
	return slices.ContainsFunc(l, func(v float64) bool { return d == time.Duration(v*float64(time.Second)) })
}

// follow returns for how long changes may be unheard, when the store answers on them and
// on the entries at some times.
func follow(answers, entries times) (unheard time.Duration) {
	c := clockwork.NewFakeClock()
	b := c.Now()
	var heard, read time.Time
	s := &Silence{
		Clock: c, Log: log.New(io.Discard), After: 3900 * time.Millisecond, Long: 5 * time.Second, Settle: 2 * time.Second,
		News:    400 * time.Millisecond,
		Age:     func() (time.Duration, bool) { return c.Since(heard), !heard.IsZero() },
		Entries: func() (time.Duration, bool) { return c.Since(read), !read.IsZero() },
	}
	for c.Since(b) < 20*time.Second {
		c.Advance(checkInterval)
		if answers.in(c.Since(b)) {
			heard = c.Now()
		}
		if entries.in(c.Since(b)) {
			read = c.Now()
		}
		if s.Unheard() {
			unheard += checkInterval
		}
	}
	return unheard
}

// A change in a silence goes unnoticed, or a short one holds requests back after its end.
func TestSilence(t *testing.T) {
	calm := times{0.1, 1, 4, 7, 10, 13, 16, 19}
	for _, v := range []struct {
		name             string
		answers, entries times
		unheard          time.Duration
	}{
		{"never heard", nil, nil, 20 * time.Second},
		{"calm", calm, calm, 0},
		{"too short for a change", times{0.1, 1, 4.9, 8, 10, 13, 16, 19}, calm, 0},
		{"too short to matter later", times{0.1, 1, 5.8, 8, 11, 14, 17, 19}, calm, 900 * time.Millisecond},
		{"long", times{0.1, 1, 9, 12, 15, 18}, times{0.1, 1, 9.5, 12, 15, 18}, 6100 * time.Millisecond},
		{"entries are heard late", times{0.1, 1, 9, 12, 15, 18}, times{0.1, 1, 12.5, 15, 18}, 7900 * time.Millisecond},
	} {
		must.EqOp(t, v.unheard, follow(v.answers, v.entries), must.Sprint(v.name))
	}
}
