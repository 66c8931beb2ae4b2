// Package loan borrows tokens from other hosts when this host's share of an account's
// burst is used up and requests wait.
package loan

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/span"
	"celeryreach.example/celeryreach/wire"
)

// MaxLenders is the maximum number of lenders that are asked, one after another.
const MaxLenders = 3

const (
	// maxConcurrent is the maximum number of borrow requests in progress, and also the
	// maximum number queued. If the queue is full, callers wait for the refill of their
	// own bucket.
	maxConcurrent = 16
	// marginDivisor gives the margin by which a loan is shortened, 1/marginDivisor of
	// its duration, since clocks run at different speeds.
	marginDivisor = 50
	// sameDomainFactor and sameRegionFactor prefer lenders that answer within a
	// millisecond to those behind a slow link.
	sameDomainFactor = 1.5
	sameRegionFactor = 1.2
)

// Loan borrows tokens from other hosts.
type Loan struct {
	// Clock measures the duration of loans.
	Clock clockwork.Clock
	// Duration is the duration of a loan.
	Duration time.Duration
	// Self is the name of this host, which is sent as the borrower.
	Self string
	// Lenders returns the addresses of the hosts to borrow an account's tokens from,
	// best first.
	Lenders func(account string) []string
	// Send sends a borrow request to another host.
	Send func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// OnReceived is called at the end of a borrow request, with the number of tokens
	// borrowed, possibly zero. The tokens expire at until by Clock.
	OnReceived func(account string, asked, units uint64, until time.Time)

	requests chan request
}

// request is a queued call of Borrow.
type request struct {
	account string
	units   uint64
}

// New returns a Loan that queues borrow requests from now on.
func New(c clockwork.Clock, d time.Duration) *Loan {
	return &Loan{Clock: c, Duration: d, requests: make(chan request, maxConcurrent)}
}

// Borrow starts to borrow tokens. It never blocks.
func (l *Loan) Borrow(account string, units uint64) {
	select {
	case l.requests <- request{account: account, units: units}:
	default:
		// The queue is full: the request ends immediately without tokens, and callers
		// wait for the refill of their own bucket. The caller of Borrow may hold the
		// lock that OnReceived needs.
		go l.OnReceived(account, units, 0, time.Time{})
	}
}

// Run sends borrow requests until ctx ends.
func (l *Loan) Run(ctx context.Context) error {
	d := make(chan struct{})
	for range maxConcurrent {
		go l.work(ctx, d)
	}
	for range maxConcurrent {
		<-d
	}
	return nil
}

func (l *Loan) work(ctx context.Context, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-l.requests:
			l.tryLenders(ctx, a)
		}
	}
}

// tryLenders asks one lender after another, until one lends tokens.
func (l *Loan) tryLenders(ctx context.Context, a request) {
	p := l.Lenders(a.account)
	for _, v := range p[:min(len(p), MaxLenders)] {
		u, t := l.borrowFrom(ctx, v, a)
		if u > 0 {
			l.OnReceived(a.account, a.units, u, t)
			return
		}
	}
	l.OnReceived(a.account, a.units, 0, time.Time{})
}

func (l *Loan) borrowFrom(ctx context.Context, address string, a request) (units uint64, until time.Time) {
	x, f := clockwork.WithTimeout(ctx, l.Clock, l.Duration)
	defer f()
	t := l.Clock.Now()
	r, err := l.Send(x, address, &wire.BorrowRequest{
		Limit: division.RatePrefix + a.account, Units: a.units, Borrower: l.Self, ForNanoseconds: int64(l.Duration),
	})
	if err != nil {
		// If the response is lost, the tokens are lost. The lender regains the capacity
		// for them when the loan would have ended.
		return 0, t
	}
	u := time.Duration(r.ForNanoseconds)
	return min(r.Units, a.units), t.Add(u - u/marginDivisor)
}

// Lenders returns the other hosts that have more of a limit than they need themselves,
// nearest and largest surplus first.
func Lenders(self holder.Holder, near []holder.Holder, d division.Division, limit string, demand map[string]float64) []holder.Holder {
	var r []holder.Holder
	m := make(map[string]float64)
	for _, h := range near {
		if h == self {
			continue
		}
		p := d.Part(limit, h)
		s := float64(span.Length(p.Floor)+span.Length(p.Leased))/span.FullLength - demand[h.Name]
		if s <= 0 {
			continue
		}
		if h.Domain == self.Domain {
			s *= sameDomainFactor
		} else if h.Region == self.Region {
			s *= sameRegionFactor
		}
		m[h.Name] = s
		r = append(r, h)
	}
	sort.SliceStable(r, func(i, j int) bool { return m[r[i].Name] > m[r[j].Name] })
	return r
}
