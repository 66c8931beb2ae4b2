// Package borrower gets tokens from other hosts.
package borrower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

const (
	// pending is how many questions wait at most; what is beyond them is asked
	// again by later requests.
	pending = 64
	// askTimeout bounds one question, a few times the way to the farthest
	// region and back. What comes later is lost.
	askTimeout = 500 * time.Millisecond
	// lenders is how many hosts are asked for one need.
	lenders = 3
)

// Borrower asks other hosts, those of its own region first.
type Borrower struct {
	// Clock bounds questions.
	Clock clockwork.Clock
	// Self is this host.
	Self func() member.Member
	// Hosts returns the other hosts that are alive.
	Hosts func() []member.Member
	// Borrow asks one host.
	Borrow func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Received takes what was given.
	Received func(limit string, units int64)

	needs chan need
}

type need struct {
	limit string
	units int64
}

// New returns a Borrower; its fields are set before Run.
func New() *Borrower {
	return &Borrower{needs: make(chan need, pending)}
}

// Ask notes a need. It never blocks.
func (b *Borrower) Ask(limit string, units int64) {
	select {
	case b.needs <- need{limit: limit, units: units}:
	default:
	}
}

// Run asks until ctx ends.
func (b *Borrower) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-b.needs:
			b.meet(ctx, n)
		}
	}
}

func (b *Borrower) meet(ctx context.Context, n need) {
	h := b.order()
	for i := 0; i < min(len(h), lenders) && n.units > 0; i++ {
		x, f := deadline.With(ctx, b.Clock, askTimeout)
		r, err := b.Borrow(x, h[i].PeerAddress, &wire.BorrowRequest{
			Limit: n.limit, Units: uint64(n.units), Borrower: b.Self().Name,
		})
		f()
		if err != nil {
			continue // a host that does not answer has lent nothing that is used
		}
		u := min(int64(r.GetUnits()), n.units)
		b.Received(n.limit, u)
		n.units -= u
	}
}

// order draws the hosts to ask: two of the own region, then any.
func (b *Borrower) order() []member.Member {
	var near, far []member.Member
	for _, m := range b.Hosts() {
		if m.Region == b.Self().Region {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	k := min(len(near), lenders-1)
	return append(append(near[:k:k], far...), near[k:]...)
}
