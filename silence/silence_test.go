package silence

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// follow looks at the ages that last and returns for how long changes may be unheard.
func follow(answers map[time.Duration]bool, span time.Duration) (unheard time.Duration) {
	c := clockwork.NewFakeClock()
	b := c.Now()
	var last time.Time
	s := &Silence{
		Clock: c, Log: log.New(io.Discard), After: 3900 * time.Millisecond, Long: 5 * time.Second, Settle: 2 * time.Second,
		Age: func() (time.Duration, bool) { return c.Since(last), !last.IsZero() },
	}
	for c.Since(b) < span {
		c.Advance(lookEvery)
		if answers[c.Since(b)] {
			last = c.Now()
		}
		s.Look()
		if s.Unheard() {
			unheard += lookEvery
		}
	}
	return unheard
}

// A change in a silence goes unnoticed, or a short one holds requests back after its end.
func TestSilence(t *testing.T) {
	for _, v := range []struct {
		name    string
		answers []float64 // in seconds
		unheard time.Duration
	}{
		{"never heard", nil, 0},
		{"calm", []float64{1, 4, 7, 10, 13, 16, 19}, 0},
		{"too short for a change", []float64{1, 4.9, 8, 10, 13, 16, 19}, 0},
		{"too short to matter later", []float64{1, 5.8, 8, 11, 14, 17, 19}, 900 * time.Millisecond},
		{"long", []float64{1, 9, 12, 15, 18}, 6100 * time.Millisecond},
	} {
		m := make(map[time.Duration]bool)
		for _, a := range v.answers {
			m[time.Duration(a*float64(time.Second))] = true
		}
		must.EqOp(t, v.unheard, follow(m, 20*time.Second), must.Sprint(v.name))
	}
}
