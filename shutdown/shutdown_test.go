package shutdown_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/shutdown"
)

// Guards against work that a host starts during its shutdown and can't finish.
func TestAllows(t *testing.T) {
	c := clockwork.NewFakeClock()
	s := &shutdown.Shutdown{Clock: c}
	must.False(t, s.HasBegun())
	must.True(t, s.Allows(c.Now().Add(time.Hour)))
	s.Begin(5 * time.Second)
	must.True(t, s.HasBegun())
	must.Eq(t, c.Now().Add(5*time.Second), s.By())
	must.True(t, s.Allows(c.Now().Add(4*time.Second)))
	must.False(t, s.Allows(s.By()))
	c.Advance(2 * time.Second)
	must.False(t, s.Allows(c.Now().Add(4*time.Second)))
}

// BenchmarkAllows measures what each request costs before it is sent.
func BenchmarkAllows(b *testing.B) {
	c := clockwork.NewRealClock()
	s := &shutdown.Shutdown{Clock: c}
	d := c.Now().Add(time.Second)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s.Allows(d)
		}
	})
}
