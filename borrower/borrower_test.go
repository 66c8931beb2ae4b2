package borrower_test

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/borrower"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

const unity = "unity"

// fixture is a Borrower and a record of its calls to other hosts.
type fixture struct {
	borrower   *borrower.Borrower
	mu         sync.Mutex
	requests   []*wire.BorrowRequest
	addresses  []string
	received   int64
	delivered  []*wire.Loan
	done       chan string // accounts whose requests have ended
	deliveries chan struct{}
}

func start(t *testing.T, hosts map[string]string, give func(address string) (uint64, error)) *fixture {
	w := &fixture{done: make(chan string, 9), deliveries: make(chan struct{}, 9), borrower: borrower.New()}
	b := w.borrower
	b.Clock, b.Log = clockwork.NewFakeClock(), log.New(io.Discard)
	b.Self = func() member.Member { return member.Member{Name: "self", Region: "lagos"} }
	b.Hosts = func() []member.Member {
		var l []member.Member
		for n, r := range hosts {
			l = append(l, member.Member{Name: n, Region: r, PeerAddress: n})
		}
		return l
	}
	b.Borrow = func(_ context.Context, a string, r *wire.BorrowRequest) (*wire.BorrowResponse, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.requests = append(w.requests, r)
		w.addresses = append(w.addresses, a)
		u, err := give(a)
		return &wire.BorrowResponse{Units: u}, err
	}
	b.Deliver = func(_ context.Context, _ string, l *wire.Loan) error {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.delivered = append(w.delivered, l)
		w.deliveries <- struct{}{}
		return nil
	}
	b.OnReceived = func(_ string, n int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.received += n
	}
	b.RequestDone = func(s string) { w.done <- s }
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- b.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-end)
	})
	return w
}

// Two requests wait for tokens. The first host does not answer, so it has lent nothing;
// the next one lends one token, and the last must be asked only for the remaining one.
func TestAsksUntilRequestIsMet(t *testing.T) {
	answers := []func() (uint64, error){
		func() (uint64, error) { return 0, errors.New("no answer") },
		func() (uint64, error) { return 1, nil },
		func() (uint64, error) { return 5, nil },
	}
	i := -1
	w := start(t, map[string]string{"a": "lagos", "b": "lagos", "c": "abuja"}, func(string) (uint64, error) {
		i++
		return answers[i]()
	})
	must.True(t, w.borrower.Request(unity, 2, 2, []string{"a", "b", "c"}))
	must.EqOp(t, unity, <-w.done)
	must.Len(t, 3, w.requests)
	must.EqOp(t, "c", w.addresses[2])
	must.EqOp(t, 1, w.requests[2].GetUnits())
	must.EqOp(t, 1, w.requests[2].GetUrgent())
	must.EqOp(t, 2, w.received)
}

// Few hosts hold a share of the account's limits. Only they must be asked: other hosts
// cannot have tokens, and their answers would only take time.
func TestAsksHoldersOnly(t *testing.T) {
	w := start(t, map[string]string{"a": "lagos", "b": "lagos", "c": "abuja"}, func(string) (uint64, error) { return 0, nil })
	must.True(t, w.borrower.Request(unity, 1, 1, []string{"self", "c"}))
	must.EqOp(t, unity, <-w.done)
	must.Eq(t, []string{"c"}, w.addresses)
}

// Spare tokens are delivered to a host whose earlier request was not met. Tokens for a
// host that is gone are lost.
func TestDeliversTokens(t *testing.T) {
	w := start(t, map[string]string{"a": "lagos"}, nil)
	w.borrower.Lend("gone", unity, 1)
	w.borrower.Lend("a", unity, 3)
	<-w.deliveries
	must.Len(t, 1, w.delivered)
	must.EqOp(t, 3, w.delivered[0].GetUnits())
}

// If the queue is full, Request must report it and not block the caller's request.
func TestAskDoesNotBlock(t *testing.T) {
	b := borrower.New()
	for b.Request(unity, 1, 1, nil) {
	}
	must.False(t, b.Request(unity, 1, 1, nil))
}
