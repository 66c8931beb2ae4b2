package memorybudget_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/memoryhold"
	"celeryreach.example/celeryreach/stalled"
)

// Guards against clients that stand still and have all memory, and against taking it from those that
// don't.
func TestMemoryOfStalledClients(t *testing.T) {
	k := clockwork.NewFakeClock()
	s := &stalled.Stalled{Clock: k}
	m := &memorybudget.Memorybudget{Clock: k, Limit: 100, Stalled: s}
	a, b, c := &memoryhold.Memoryhold{Budget: m}, &memoryhold.Memoryhold{Budget: m}, &memoryhold.Memoryhold{Budget: m}
	must.True(t, a.Take(60))
	defer s.Add(k.Now(), func() { a.Release() })()
	must.True(t, b.Take(40))
	must.False(t, c.Take(1))
	k.Advance(300 * time.Millisecond)
	defer s.Add(k.Now(), func() { t.Error("the younger wait was ended") })()
	must.False(t, c.Take(1))
	k.Advance(200 * time.Millisecond)
	must.True(t, c.Take(60))
	must.False(t, c.Take(1))
	b.Release()
	c.Release()
	must.Zero(t, m.Used())
}
