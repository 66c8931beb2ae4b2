package quarantine_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/quarantine"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
)

// host is a Quarantine on a fake clock, for which all processes have ended.
type host struct {
	*quarantine.Quarantine
	clock    *clockwork.FakeClock
	notified int
	asked    int // how many times State was called
}

func newHost(c *clockwork.FakeClock) *host {
	h := &host{Quarantine: quarantine.New(), clock: c}
	h.Clock, h.Log = c, log.New(io.Discard)
	h.Probe = func(backend.Backend) {}
	h.State = func(backend.Backend, time.Time) (ended, alive bool) {
		h.asked++
		return true, false
	}
	h.Notify = func() { h.notified++ }
	return h
}

// run starts an attempt of a request, which ends after a second.
func (h *host) run(fingerprint, name string, v result.Result) {
	h.Start(fingerprint)
	t := h.clock.Now()
	h.clock.Advance(time.Second)
	h.End(&request.Request{Fingerprint: fingerprint, Deadline: t.Add(time.Minute)}, backend.Backend{Name: name, Started: 1}, t, v)
}

func (h *host) allows(fingerprint string) (ok, final bool) {
	ok, final, _ = h.Allows(fingerprint)
	return ok, final
}

// Guards against memory that grows with the requests that are answered or break off.
func TestMemoryIsBounded(t *testing.T) {
	h := newHost(clockwork.NewFakeClock())
	for i := range 20_000 {
		h.run(fmt.Sprintf("answered %d", i), "c1", result.Succeeded)
		h.run(fmt.Sprintf("broken %d", i), "c1", result.Failed)
	}
	must.LessEq(t, 64, len(h.Report(true)))
	a, s := h.Size()
	must.LessEq(t, 4096, a)
	must.LessEq(t, 1024, s)
}

// Guards against hosts that tell each other the same ends for ever, and against an end that
// counts twice since two hosts were told of it.
func TestReportsSettle(t *testing.T) {
	c := clockwork.NewFakeClock()
	a, b, d := newHost(c), newHost(c), newHost(c)
	a.run("x", "c1", result.Failed)
	a.Judge()
	b.run("x", "c2", result.Failed)
	b.Judge()
	for range 3 {
		for _, p := range [][2]*host{{a, b}, {b, a}, {b, d}, {d, a}, {a, d}} {
			p[1].Merge("", p[0].Report(true), true)
		}
	}
	n := a.notified + b.notified + d.notified
	for _, p := range [][2]*host{{a, b}, {b, a}, {b, d}, {d, a}, {a, d}} {
		p[1].Merge("", p[0].Report(true), true)
	}
	must.EqOp(t, n, a.notified+b.notified+d.notified)
	ok, _ := d.allows("x")
	must.True(t, ok)
	d.run("x", "c3", result.Failed)
	d.Judge()
	a.Merge("", d.Report(true), true)
	for _, h := range []*host{a, d} {
		ok, final := h.allows("x")
		must.False(t, ok)
		must.True(t, final)
	}
	must.EqOp(t, 1, a.Count())
}

// Guards against an end of which other hosts are told late, since news was passed on just before,
// and against heartbeats without bound when many connections break off.
func TestEndsAreReportedAtOnce(t *testing.T) {
	c := clockwork.NewFakeClock()
	h := newHost(c)
	end := func(fingerprint, name string) {
		h.Start(fingerprint)
		h.End(&request.Request{Fingerprint: fingerprint}, backend.Backend{Name: name, Started: 1}, c.Now(), result.Failed)
	}
	for i := range 3 {
		end("x", fmt.Sprintf("c%d", i))
		must.EqOp(t, i+1, h.notified)
		c.Advance(20 * time.Millisecond)
	}
	for i := range 1000 {
		end(fmt.Sprintf("y%d", i), "c3")
		c.Advance(time.Millisecond)
	}
	must.LessEq(t, 3+20, h.notified)
}

// Guards against work that grows with the number of requests that a process was running when it
// ended.
func TestProcessIsJudgedOnce(t *testing.T) {
	h := newHost(clockwork.NewFakeClock())
	for i := range 1000 {
		f := fmt.Sprintf("x%d", i)
		h.Start(f)
		h.End(&request.Request{Fingerprint: f}, backend.Backend{Name: "c1", Started: 1}, h.clock.Now(), result.Failed)
	}
	h.Judge()
	for i := range 1000 {
		h.allows(fmt.Sprintf("x%d", i))
	}
	h.Report(true)
	must.LessEq(t, 1, h.asked)
}

// Guards against a host that stands still since State waits for what holds the list of backend
// servers while it calls Set.
func TestStateMayWaitForSet(t *testing.T) {
	h := newHost(clockwork.NewFakeClock())
	asked := 0
	h.State = func(backend.Backend, time.Time) (ended, alive bool) {
		asked++
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.Set(nil)
		}()
		select {
		case <-done:
		case <-clockwork.NewRealClock().After(time.Second):
			t.Error("Set waits until State returns")
		}
		return true, false
	}
	h.run("x", "c1", result.Failed)
	h.Judge()
	b := h.clock.Now()
	h.Start("x")
	h.clock.Advance(time.Second)
	h.End(&request.Request{Fingerprint: "x", Deadline: h.clock.Now()}, backend.Backend{Name: "c2", Started: 1}, b, result.Canceled)
	must.GreaterEq(t, 2, asked)
}

// Guards against a request that is sent once more by the host that forwarded it, before the news
// of the host that saw the end arrives, and against an end that counts twice since both saw it.
func TestEndAtAnotherHostCountsAtOnce(t *testing.T) {
	c := clockwork.NewFakeClock()
	a, b := newHost(c), newHost(c)
	l := []backend.Backend{{Name: "c1", Started: 1}, {Name: "c2", Started: 1}, {Name: "c3", Started: 1}}
	a.Set(l)
	for i, v := range l {
		b.run("x", v.Name, result.Failed)
		a.EndElsewhere(&request.Request{Fingerprint: "x"}, v.Name, c.Now())
		a.Merge("", b.Report(true), true)
		ok, _ := a.allows("x")
		must.EqOp(t, i < 2, ok)
	}
}

// Guards against a request that stays refused after a release has mended what it set off, and
// against one that ends many backend servers again when its time is over.
func TestQuarantineEnds(t *testing.T) {
	c := clockwork.NewFakeClock()
	h := newHost(c)
	for i := range 3 {
		h.run("x", fmt.Sprintf("c%d", i), result.Failed)
		h.Judge()
	}
	_, final := h.allows("x")
	must.True(t, final)
	c.Advance(6 * time.Minute)
	ok, _, _ := h.Start("x")
	must.True(t, ok)
	ok, final, again := h.Start("x") // one at a time
	must.False(t, ok)
	must.False(t, final)
	must.Positive(t, again)
	h.End(&request.Request{Fingerprint: "x"}, backend.Backend{Name: "c3", Started: 1}, c.Now(), result.Failed)
	h.Judge()
	c.Advance(6 * time.Minute)
	_, final = h.allows("x")
	must.True(t, final) // for twice the time
	c.Advance(6 * time.Minute)
	for range 3 {
		h.run("x", "c4", result.Succeeded)
	}
	must.EqOp(t, 0, h.Count())
	for range 2 {
		ok, _, _ = h.Start("x")
		must.True(t, ok)
	}
}
