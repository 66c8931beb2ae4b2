package slotloan

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/balancer"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/wire"
)

const (
	total = 4
	// silence is after how long the slots of a dead host are taken over.
	silence = 3 * time.Second
)

// site is a failure domain with one backend server and three hosts, whose
// clocks run at different speeds. It counts what really runs.
type site struct {
	draw    func(n int) int
	broken  bool
	elapsed time.Duration
	hosts   []*host
	list    []backend.Backend
	running []*run
	late    []func()
	granted int
}

type host struct {
	site     *site
	name     string
	speed    float64
	clock    *clockwork.FakeClock
	balancer *balancer.Balancer
	loan     *Slotloan
	owned    int
	inherits time.Duration
	paused   bool
	dead     bool
	// ended are slots whose requests met their deadlines.
	ended []slot.Slot
}

// run is a request on the backend server, which ends it at its deadline.
type run struct {
	host *host
	slot slot.Slot
	ends time.Duration
}

func newSite(draw func(int) int, broken bool) *site {
	x := &site{draw: draw, broken: broken, list: []backend.Backend{{Name: "b", Slots: total}}}
	for i, n := range []string{"one", "two", "three"} {
		h := &host{site: x, name: n, speed: []float64{0.99, 1, 1.01}[i], clock: clockwork.NewFakeClock(), owned: []int{2, 1, 1}[i]}
		h.balancer = &balancer.Balancer{
			Clock: h.clock, Backends: func() []backend.Backend { return x.list }, Released: func() {},
			Slots: func(backend.Backend) int { return h.owned },
		}
		h.loan = &Slotloan{
			Clock: h.clock, Host: n, Longest: silence - 300*time.Millisecond, Ask: x.ask, Kick: func(string) {},
			Siblings: func(string) []member.Member { return x.siblings(h) },
			Adopt:    func(_, b string, f func()) (slot.Slot, bool) { return h.balancer.Adopt(b, f) },
			Lend:     h.lend,
		}
		x.hosts = append(x.hosts, h)
	}
	return x
}

func (h *host) lend(_ string, d time.Duration) (string, func(), bool) {
	n, f, ok := h.balancer.Lend(d)
	if ok {
		h.site.granted++
		if h.site.broken {
			f() // lends without closing its own slot
		}
	}
	return n, f, ok
}

func (x *site) siblings(h *host) []member.Member {
	var r []member.Member
	for _, v := range x.hosts {
		if v != h {
			r = append(r, member.Member{Name: v.name, PeerAddress: v.name})
		}
	}
	return r
}

// ask is the network: messages and answers get lost, come late, and returns
// are overtaken by what was sent after them.
func (x *site) ask(_ context.Context, a string, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	h := x.hosts[slices.IndexFunc(x.hosts, func(h *host) bool { return h.name == a })]
	f := x.draw(6)
	if h.dead || h.paused || f == 0 {
		return nil, errors.New("lost")
	}
	if b.Returned && f == 1 {
		x.late = append(x.late, func() { h.loan.Receive(b) })
		return nil, errors.New("late")
	}
	r := h.loan.Receive(b)
	if f == 2 {
		return nil, errors.New("the answer was lost")
	}
	if f == 3 {
		x.advance(90 * time.Millisecond)
	}
	return r, nil
}

func (x *site) advance(d time.Duration) {
	x.elapsed += d
	for _, h := range x.hosts {
		h.clock.Advance(time.Duration(float64(d) * h.speed))
	}
	x.running = slices.DeleteFunc(x.running, func(r *run) bool {
		if r.ends > x.elapsed {
			return false
		}
		r.host.ended = append(r.host.ended, r.slot)
		return true
	})
	for i, h := range x.hosts {
		if h.dead && h.owned > 0 && x.elapsed >= h.inherits {
			x.hosts[(i+1)%len(x.hosts)].owned += h.owned
			h.owned = 0
		}
	}
}

// step does one thing at a random host.
func (x *site) step() {
	h := x.hosts[x.draw(len(x.hosts))]
	if h.dead {
		x.advance(20 * time.Millisecond)
		return
	}
	switch x.draw(11) {
	case 0, 1, 2, 3:
		if !h.paused {
			h.start()
		}
	case 4, 5:
		x.finish(h)
	case 6, 7:
		x.advance(time.Duration(1+x.draw(50)) * time.Millisecond)
	case 8:
		x.advance(time.Duration(x.draw(1500)) * time.Millisecond)
	case 9:
		h.paused = !h.paused
	case 10:
		x.rare(h)
	}
	if !h.paused {
		for _, s := range h.ended {
			s.Release(result.Canceled)
		}
		h.ended = nil
		h.loan.giveBack(context.Background())
	}
}

func (x *site) rare(h *host) {
	if len(x.late) > 0 {
		x.late[0]()
		x.late = x.late[1:]
		return
	}
	if x.draw(10) == 0 {
		// Its connections break, so the backend server stops what it sent.
		h.dead = true
		h.inherits = x.elapsed + silence
		x.running = slices.DeleteFunc(x.running, func(r *run) bool { return r.host == h })
	}
}

func (h *host) start() {
	d := time.Duration(1+h.site.draw(2500)) * time.Millisecond
	s, ok := h.balancer.Acquire()
	if !ok {
		t := h.clock.Now().Add(d)
		s, ok = h.loan.Acquire("s", t)
		if !ok {
			h.loan.borrow(context.Background(), "s")
			s, ok = h.loan.Acquire("s", t)
			d = t.Sub(h.clock.Now())
		}
	}
	if ok && d > 0 {
		h.site.running = append(h.site.running, &run{host: h, slot: s, ends: h.site.elapsed + d})
	}
}

func (x *site) finish(h *host) {
	if h.paused {
		return
	}
	for i, r := range x.running {
		if r.host == h {
			x.running = slices.Delete(x.running, i, i+1)
			r.slot.Release(result.Succeeded)
			return
		}
	}
}

// A backend server with four slots gets a fifth request, sheds it or slows all
// down, when two hosts believe to hold the same slot. Siblings lend slots while
// messages, answers and returns are lost or late, hosts pause with requests in
// flight, die and are inherited, and clocks differ by two percent.
func TestNeverMoreThanSlots(t *testing.T) {
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		x := newSite(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }, false)
		for range 120 {
			x.step()
			must.LessEq(t, total, len(x.running))
		}
		n += x.granted
	})
	must.Positive(t, n)
}

// The test above is worth something only if it fails for a host that lends a
// slot and goes on using it.
func TestNeverMoreThanSlotsFindsFault(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		x := newSite(r.IntN, true)
		for range 120 {
			x.step()
			if len(x.running) > total {
				return
			}
		}
	}
	t.Fatal("a lender that keeps its slot was not found out")
}

// A studio's requests wait on one host while its sibling has free slots. The
// host asks, gets a slot for as long as the caller waits, and gives it back.
func TestBorrowAndReturn(t *testing.T) {
	x := newSite(func(n int) int { return n - 1 }, false)
	h := x.hosts[1]
	h.owned = 0
	l := x.hosts[0]
	until := h.clock.Now().Add(2 * time.Second)
	_, ok := h.loan.Acquire("s", until)
	must.False(t, ok)
	must.EqOp(t, "s", <-h.loan.channel())
	h.loan.borrow(t.Context(), "s")
	s, ok := h.loan.Acquire("s", until)
	must.True(t, ok)
	must.EqOp(t, 1, l.balancer.Committed("b"))
	_, ok = h.loan.Acquire("s", until)
	must.False(t, ok, must.Sprint("one loan serves one request"))
	s.Release(result.Succeeded)
	_, ok = h.loan.Acquire("s", h.clock.Now().Add(time.Minute))
	must.False(t, ok, must.Sprint("the request would outlive the loan"))
	x.advance(50 * time.Millisecond)
	h.loan.giveBack(t.Context())
	must.EqOp(t, 0, l.balancer.Committed("b"))
}
