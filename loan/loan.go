// Package loan asks other hosts for tokens when this host's part of an
// account's burst is used up and requests wait.
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

// Tries is how many lenders are asked, one after another.
const Tries = 3

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
	// Lenders returns the addresses of the hosts to ask for an account's
	// tokens, the best first.
	Lenders func(account string) []string
	// Ask sends the request.
	Ask func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Received ends an ask: it takes the tokens, which end at until by Clock,
	// or none.
	Received func(account string, asked, units uint64, until time.Time)

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

// Borrow starts to ask for tokens. It never blocks.
func (l *Loan) Borrow(account string, units uint64) {
	select {
	case l.asks <- ask{account: account, units: units}:
	default:
		// An ask too many ends at once with nothing; its requests wait for
		// their own refill. The caller may hold the lock that Received needs.
		go l.Received(account, units, 0, time.Time{})
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

// ask tries one lender after another.
func (l *Loan) ask(ctx context.Context, a ask) {
	p := l.Lenders(a.account)
	for _, v := range p[:min(len(p), Tries)] {
		u, t := l.once(ctx, v, a)
		if u > 0 {
			l.Received(a.account, a.units, u, t)
			return
		}
	}
	l.Received(a.account, a.units, 0, time.Time{})
}

func (l *Loan) once(ctx context.Context, address string, a ask) (units uint64, until time.Time) {
	x, f := clockwork.WithTimeout(ctx, l.Clock, l.For)
	defer f()
	t := l.Clock.Now()
	r, err := l.Ask(x, address, &wire.BorrowRequest{
		Limit: division.RatePrefix + a.account, Units: a.units, Borrower: l.Self, ForNanoseconds: int64(l.For),
	})
	if err != nil {
		// A lost answer loses the tokens; the lender's place for them opens
		// again when the loan would have ended.
		return 0, t
	}
	u := time.Duration(r.ForNanoseconds)
	return min(r.Units, a.units), t.Add(u - u/margin)
}

// Lenders orders the other hosts that have more of a limit than they need
// themselves, the nearest and richest first.
func Lenders(self holder.Holder, near []holder.Holder, d division.Division, limit string, demand map[string]float64) []holder.Holder {
	var r []holder.Holder
	m := make(map[string]float64)
	for _, h := range near {
		if h == self {
			continue
		}
		p := d.Part(limit, h)
		s := float64(span.Length(p.Floor)+span.Length(p.Leased))/span.Whole - demand[h.Name]
		if s <= 0 {
			continue
		}
		if h.Domain == self.Domain {
			s *= sameDomain
		} else if h.Region == self.Region {
			s *= sameRegion
		}
		m[h.Name] = s
		r = append(r, h)
	}
	sort.SliceStable(r, func(i, j int) bool { return m[r[i].Name] > m[r[j].Name] })
	return r
}
