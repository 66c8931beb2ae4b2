// Package borrower carries tokens between hosts.
package borrower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

const (
	// pending is how many needs wait at most; what is beyond them is asked for
	// again by later requests.
	pending = 64
	// workers is how many needs are met at a time. A host in another region
	// answers after 110 ms, and requests of other accounts wait no longer than
	// some 50 ms for tokens.
	workers = 8
	// askTimeout bounds one question, a few times the way to the farthest
	// region and back. What comes later is lost.
	askTimeout = 500 * time.Millisecond
	// lenders is how many hosts are asked for one need.
	lenders = 3
)

// Borrower asks other hosts for tokens, those of its own region first, and brings
// tokens to those that asked this host.
type Borrower struct {
	// Clock bounds calls.
	Clock clockwork.Clock
	// Log receives one line for each host that gave tokens, and for those that
	// could not be brought.
	Log *log.Logger
	// Self is this host.
	Self func() member.Member
	// Hosts returns the other hosts that are alive.
	Hosts func() []member.Member
	// Borrow asks one host.
	Borrow func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Bring takes tokens to one host.
	Bring func(ctx context.Context, address string, l *wire.Loan) error
	// Received takes what was given.
	Received func(limit string, units int64)
	// Asked is told when a need has been met as far as it can be.
	Asked func(limit string)

	needs chan need
	loans chan loan
}

// need is what this host lacks.
type need struct {
	limit   string
	units   int64
	urgent  int64
	holders []string
}

// loan is what another host gets.
type loan struct {
	host, limit string
	units       int64
}

// New returns a Borrower; its fields are set before Run.
func New() *Borrower {
	return &Borrower{needs: make(chan need, pending), loans: make(chan loan, pending)}
}

// Ask notes a need that hosts among holders can meet, with the number of units
// that requests wait for. It reports false if there are too many needs, and never
// blocks.
func (b *Borrower) Ask(limit string, units, urgent int64, holders []string) bool {
	select {
	case b.needs <- need{limit: limit, units: units, urgent: urgent, holders: holders}:
		return true
	default:
		return false
	}
}

// Lend notes tokens for another host. It never blocks; tokens that cannot be
// brought are lost.
func (b *Borrower) Lend(host, limit string, units int64) {
	select {
	case b.loans <- loan{host: host, limit: limit, units: units}:
	default:
	}
}

// Run carries tokens until ctx ends.
func (b *Borrower) Run(ctx context.Context) error {
	d := make(chan struct{}, workers)
	for range workers {
		go b.work(ctx, d)
	}
	for range workers {
		<-d
	}
	return nil
}

func (b *Borrower) work(ctx context.Context, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.needs:
			b.meet(ctx, n)
		case l := <-b.loans:
			b.bring(ctx, l)
		}
	}
}

func (b *Borrower) meet(ctx context.Context, n need) {
	defer b.Asked(n.limit)
	h := b.order(n.holders)
	for i := 0; i < min(len(h), lenders) && n.units > 0; i++ {
		u := b.ask(ctx, h[i], n)
		n.units -= u
		n.urgent = max(n.urgent-u, 0)
	}
}

// ask returns how many tokens a host gave. One that does not answer has given
// nothing that is used.
func (b *Borrower) ask(ctx context.Context, m member.Member, n need) int64 {
	x, f := deadline.With(ctx, b.Clock, askTimeout)
	defer f()
	t := b.Clock.Now()
	r, err := b.Borrow(x, m.PeerAddress, &wire.BorrowRequest{
		Limit: n.limit, Units: uint64(n.units), Urgent: uint64(n.urgent), Borrower: b.Self().Name,
	})
	if err != nil {
		b.Log.Warn("host asked for tokens did not answer", "Host", m.Name, "Account", n.limit, "Error", err)
		return 0
	}
	u := min(int64(r.GetUnits()), n.units)
	if u > 0 {
		b.Log.Info("tokens borrowed", "From", m.Name, "Account", n.limit, "Units", u, "Wanted", n.units, "Took", b.Clock.Since(t))
		b.Received(n.limit, u)
	}
	return u
}

func (b *Borrower) bring(ctx context.Context, l loan) {
	for _, m := range b.Hosts() {
		if m.Name != l.host {
			continue
		}
		x, f := deadline.With(ctx, b.Clock, askTimeout)
		defer f()
		err := b.Bring(x, m.PeerAddress, &wire.Loan{Limit: l.limit, Units: uint64(l.units), Lender: b.Self().Name})
		if err != nil {
			b.Log.Warn("tokens lost on their way", "To", l.host, "Account", l.limit, "Units", l.units, "Error", err)
		}
		return
	}
}

// order draws the hosts to ask: two of the own region, then any.
func (b *Borrower) order(holders []string) []member.Member {
	var near, far []member.Member
	for _, m := range b.Hosts() {
		if !slices.Contains(holders, m.Name) {
			continue
		}
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
