// Package loan asks other hosts for tokens when this host's part of an
// account's burst is used up and requests wait.
package loan

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/span"
	"celeryreach.example/celeryreach/wire"
)

const (
	// asksMost is how many asks may be under way; beyond it requests wait for
	// their own refill.
	asksMost = 16
	// margin shortens the loan, as a divisor, for clocks of different speed.
	margin = 50
	// sameDomain and sameRegion prefer lenders whose answer comes in a
	// millisecond to those behind a slow link.
	sameDomain = 1.5
	sameRegion = 1.2
)

// Loan is the borrowing side.
type Loan struct {
	// Clock measures the loans.
	Clock clockwork.Clock
	// For is how long a loan lasts.
	For time.Duration
	// Self names this host as the borrower.
	Self string
	// Lender returns the address of the host to ask for an account's tokens.
	Lender func(account string) (address string, ok bool)
	// Ask sends the request.
	Ask func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Received takes the tokens, which end at until by Clock.
	Received func(account string, units uint64, until time.Time)

	asks chan ask
}

type ask struct {
	account string
	units   uint64
}

// New returns a Loan that takes asks from now on.
func New(c clockwork.Clock, d time.Duration) *Loan {
	return &Loan{Clock: c, For: d, asks: make(chan ask, asksMost)}
}

// Borrow starts to ask for tokens. It never blocks: an ask too many is
// dropped, and its requests wait for their own refill.
func (l *Loan) Borrow(account string, units uint64) {
	select {
	case l.asks <- ask{account: account, units: units}:
	default:
	}
}

// Run asks until ctx ends.
func (l *Loan) Run(ctx context.Context) error {
	d := make(chan struct{})
	for range asksMost {
		go l.work(ctx, d)
	}
	for range asksMost {
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
		case a := <-l.asks:
			l.ask(ctx, a)
		}
	}
}

func (l *Loan) ask(ctx context.Context, a ask) {
	p, ok := l.Lender(a.account)
	if !ok {
		return
	}
	x, f := clockwork.WithTimeout(ctx, l.Clock, l.For)
	defer f()
	t := l.Clock.Now()
	r, err := l.Ask(x, p, &wire.BorrowRequest{
		Limit: division.RatePrefix + a.account, Units: a.units, Borrower: l.Self, ForNanoseconds: int64(l.For),
	})
	if err != nil || r.Units == 0 {
		// A lost answer loses the tokens; the lender's place for them opens
		// again when the loan would have ended.
		return
	}
	u := time.Duration(r.ForNanoseconds)
	l.Received(a.account, min(r.Units, a.units), t.Add(u-u/margin))
}

// Lender picks whom to ask for an account's tokens: of the others that are
// near the one with the most that it does not need itself.
func Lender(self holder.Holder, near []holder.Holder, d division.Division, limit string, demand map[string]float64) (holder.Holder, bool) {
	var b holder.Holder
	m := 0.0
	for _, h := range near {
		if h == self {
			continue
		}
		p := d.Part(limit, h)
		s := float64(span.Length(p.Floor)+span.Length(p.Leased))/span.Whole - demand[h.Name]
		if h.Domain == self.Domain {
			s *= sameDomain
		} else if h.Region == self.Region {
			s *= sameRegion
		}
		if s > m {
			b, m = h, s
		}
	}
	return b, m > 0
}
