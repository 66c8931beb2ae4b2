// Package borrower transfers tokens between hosts.
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
	// queueSize is the maximum number of queued requests, and of queued loans. A
	// request that does not fit is dropped, and later callers cause a new one.
	queueSize = 64
	// workers is the number of requests and loans that are processed concurrently.
	// Several run at a time, because a host in another region answers after 110 ms,
	// while requests of other accounts wait for tokens for at most about 50 ms.
	workers = 8
	// callTimeout bounds one call to another host. It is a few times the round-trip
	// time to the farthest region. Tokens that arrive later are lost.
	callTimeout = 500 * time.Millisecond
	// maxLenders is the maximum number of hosts that are asked for one request.
	maxLenders = 3
)

// Borrower borrows tokens from other hosts, preferably of its own region, and delivers
// tokens to hosts that requested them.
type Borrower struct {
	// Clock measures the time-outs of calls.
	Clock clockwork.Clock
	// Log receives one line for each host that lends tokens or does not answer, and for
	// tokens that could not be delivered.
	Log *log.Logger
	// Self returns this host.
	Self func() member.Member
	// Hosts returns the other hosts that are alive.
	Hosts func() []member.Member
	// Borrow requests tokens from one host.
	Borrow func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Deliver delivers tokens to one host.
	Deliver func(ctx context.Context, address string, l *wire.Loan) error
	// OnReceived is called with the tokens that a host lent.
	OnReceived func(limit string, units int64)
	// RequestDone is called when a request has been met as far as possible.
	RequestDone func(limit string)

	requests chan tokenRequest
	loans    chan loan
}

// tokenRequest is a request for tokens that this host lacks.
type tokenRequest struct {
	limit   string
	units   int64
	urgent  int64
	holders []string
}

// loan is tokens to be delivered to another host.
type loan struct {
	host, limit string
	units       int64
}

// New returns a Borrower. Its fields must be set before Run.
func New() *Borrower {
	return &Borrower{requests: make(chan tokenRequest, queueSize), loans: make(chan loan, queueSize)}
}

// Request queues a request for units tokens of a limit, which are borrowed from the
// hosts in holders. Callers wait for urgent of these tokens. Request never blocks, and
// returns false if the queue is full.
func (b *Borrower) Request(limit string, units, urgent int64, holders []string) bool {
	select {
	case b.requests <- tokenRequest{limit: limit, units: units, urgent: urgent, holders: holders}:
		return true
	default:
		return false
	}
}

// Lend queues tokens for delivery to another host. It never blocks; tokens that cannot
// be delivered are lost.
func (b *Borrower) Lend(host, limit string, units int64) {
	select {
	case b.loans <- loan{host: host, limit: limit, units: units}:
	default:
	}
}

// Run processes queued requests and loans until ctx ends.
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
		case n := <-b.requests:
			b.borrow(ctx, n)
		case l := <-b.loans:
			b.deliver(ctx, l)
		}
	}
}

func (b *Borrower) borrow(ctx context.Context, n tokenRequest) {
	defer b.RequestDone(n.limit)
	h := b.selectLenders(n.holders)
	for i := 0; i < min(len(h), maxLenders) && n.units > 0; i++ {
		u := b.borrowFrom(ctx, h[i], n)
		n.units -= u
		n.urgent = max(n.urgent-u, 0)
	}
}

// borrowFrom returns how many tokens a host lent. If it does not answer, tokens that it
// may have lent are not used.
func (b *Borrower) borrowFrom(ctx context.Context, m member.Member, n tokenRequest) int64 {
	x, f := deadline.With(ctx, b.Clock, callTimeout)
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
		b.OnReceived(n.limit, u)
	}
	return u
}

func (b *Borrower) deliver(ctx context.Context, l loan) {
	for _, m := range b.Hosts() {
		if m.Name != l.host {
			continue
		}
		x, f := deadline.With(ctx, b.Clock, callTimeout)
		defer f()
		err := b.Deliver(x, m.PeerAddress, &wire.Loan{Limit: l.limit, Units: uint64(l.units), Lender: b.Self().Name})
		if err != nil {
			b.Log.Warn("tokens lost on their way", "To", l.host, "Account", l.limit, "Units", l.units, "Error", err)
		}
		return
	}
}

// selectLenders returns the hosts to ask: first two of this host's region, then those
// of other regions, then the remaining ones of this host's region, each group in random
// order.
func (b *Borrower) selectLenders(holders []string) []member.Member {
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
	k := min(len(near), maxLenders-1)
	return append(append(near[:k:k], far...), near[k:]...)
}
