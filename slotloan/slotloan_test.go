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
	// takeoverDelay is the time after which the slots of a failed host are taken
	// over.
	takeoverDelay = 3 * time.Second
)

// testDomain is a failure domain with one backend server and three hosts, whose
// clocks run at different rates. It tracks the requests that really run.
type testDomain struct {
	draw             func(n int) int
	lendersKeepSlots bool
	elapsed          time.Duration
	hosts            []*host
	list             []backend.Backend
	running          []*run
	delayedReturns   []func()
	granted          int
}

type host struct {
	domain     *testDomain
	name       string
	speed      float64
	clock      *clockwork.FakeClock
	balancer   *balancer.Balancer
	loan       *Slotloan
	owned      int
	takeoverAt time.Duration
	paused     bool
	dead       bool
	// expired are the slots of requests that reached their deadlines.
	expired []slot.Slot
}

// run is a request on the backend server. The backend server ends the request
// at its deadline.
type run struct {
	host *host
	slot slot.Slot
	ends time.Duration
}

func newTestDomain(draw func(int) int, broken bool) *testDomain {
	x := &testDomain{draw: draw, lendersKeepSlots: broken, list: []backend.Backend{{Name: "b", Slots: total}}}
	for i, n := range []string{"one", "two", "three"} {
		h := &host{domain: x, name: n, speed: []float64{0.99, 1, 1.01}[i], clock: clockwork.NewFakeClock(), owned: []int{2, 1, 1}[i]}
		h.balancer = &balancer.Balancer{
			Clock: h.clock, Backends: func() []backend.Backend { return x.list }, OnReleased: func() {},
			Slots: func(backend.Backend) int { return h.owned },
		}
		h.loan = &Slotloan{
			Clock: h.clock, Host: n, MaxLoan: takeoverDelay - 300*time.Millisecond, Send: x.send, OnBorrowed: func(string) {},
			Lenders:      func(string) []member.Member { return x.siblings(h) },
			BorrowedSlot: func(_, b string, f func()) (slot.Slot, bool) { return h.balancer.BorrowedSlot(b, f) },
			Lend:         h.lend,
		}
		x.hosts = append(x.hosts, h)
	}
	return x
}

func (h *host) lend(_ string, d time.Duration) (string, func(), bool) {
	n, f, ok := h.balancer.Lend(d)
	if ok {
		h.domain.granted++
		if h.domain.lendersKeepSlots {
			f() // lends without closing its own slot
		}
	}
	return n, f, ok
}

func (x *testDomain) siblings(h *host) []member.Member {
	var r []member.Member
	for _, v := range x.hosts {
		if v != h {
			r = append(r, member.Member{Name: v.name, PeerAddress: v.name})
		}
	}
	return r
}

// send simulates the network: messages and responses are lost or late, and
// returns arrive after messages that were sent later.
func (x *testDomain) send(_ context.Context, a string, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	h := x.hosts[slices.IndexFunc(x.hosts, func(h *host) bool { return h.name == a })]
	f := x.draw(6)
	if h.dead || h.paused || f == 0 {
		return nil, errors.New("lost")
	}
	if b.Returned && f == 1 {
		x.delayedReturns = append(x.delayedReturns, func() { h.loan.Receive(b) })
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

func (x *testDomain) advance(d time.Duration) {
	x.elapsed += d
	for _, h := range x.hosts {
		h.clock.Advance(time.Duration(float64(d) * h.speed))
	}
	x.running = slices.DeleteFunc(x.running, func(r *run) bool {
		if r.ends > x.elapsed {
			return false
		}
		r.host.expired = append(r.host.expired, r.slot)
		return true
	})
	for i, h := range x.hosts {
		if h.dead && h.owned > 0 && x.elapsed >= h.takeoverAt {
			x.hosts[(i+1)%len(x.hosts)].owned += h.owned
			h.owned = 0
		}
	}
}

// step performs one random operation at a random host.
func (x *testDomain) step() {
	h := x.hosts[x.draw(len(x.hosts))]
	if h.dead {
		x.advance(20 * time.Millisecond)
		return
	}
	switch x.draw(11) {
	case 0, 1, 2, 3:
		if !h.paused {
			h.startRequest()
		}
	case 4, 5:
		x.finishRequest(h)
	case 6, 7:
		x.advance(time.Duration(1+x.draw(50)) * time.Millisecond)
	case 8:
		x.advance(time.Duration(x.draw(1500)) * time.Millisecond)
	case 9:
		h.paused = !h.paused
	case 10:
		x.injectFault(h)
	}
	if !h.paused {
		for _, s := range h.expired {
			s.Release(result.Canceled)
		}
		h.expired = nil
		h.loan.returnUnused(context.Background())
	}
}

func (x *testDomain) injectFault(h *host) {
	if len(x.delayedReturns) > 0 {
		x.delayedReturns[0]()
		x.delayedReturns = x.delayedReturns[1:]
		return
	}
	if x.draw(10) == 0 {
		// The connections of the failed host break, so the backend server stops
		// the requests of this host.
		h.dead = true
		h.takeoverAt = x.elapsed + takeoverDelay
		x.running = slices.DeleteFunc(x.running, func(r *run) bool { return r.host == h })
	}
}

func (h *host) startRequest() {
	d := time.Duration(1+h.domain.draw(2500)) * time.Millisecond
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
		h.domain.running = append(h.domain.running, &run{host: h, slot: s, ends: h.domain.elapsed + d})
	}
}

func (x *testDomain) finishRequest(h *host) {
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

// If two hosts use the same slot, a backend server with four slots gets a fifth
// request and sheds it or slows down. Here hosts lend slots while messages,
// responses and returns are lost or late. Hosts pause with requests in flight,
// or fail and their slots are taken over. Their clocks differ by two percent.
func TestNeverMoreThanSlots(t *testing.T) {
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		x := newTestDomain(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }, false)
		for range 120 {
			x.step()
			must.LessEq(t, total, len(x.running))
		}
		n += x.granted
	})
	must.Positive(t, n)
}

// TestNeverMoreThanSlots must be able to detect a host that lends a slot and
// continues to use it.
func TestNeverMoreThanSlotsFindsFault(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		x := newTestDomain(r.IntN, true)
		for range 120 {
			x.step()
			if len(x.running) > total {
				return
			}
		}
	}
	t.Fatal("a lender that keeps using its slot was not detected")
}

// Requests wait on one host while another has free slots. The host borrows a
// slot for as long as the caller waits, and returns it.
func TestBorrowAndReturn(t *testing.T) {
	x := newTestDomain(func(n int) int { return n - 1 }, false)
	h := x.hosts[1]
	h.owned = 0
	l := x.hosts[0]
	until := h.clock.Now().Add(2 * time.Second)
	_, ok := h.loan.Acquire("s", until)
	must.False(t, ok)
	must.EqOp(t, "s", <-h.loan.requestChannel())
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
	h.loan.returnUnused(t.Context())
	must.EqOp(t, 0, l.balancer.Committed("b"))
}
