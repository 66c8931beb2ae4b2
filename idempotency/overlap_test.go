package idempotency_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// slowStore is a table whose calls take random times before and after their effect. It
// loses one answer in twenty.
type slowStore struct {
	clock clockwork.Clock
	table memorytable.Memorytable

	mu   sync.Mutex
	rand *rand.Rand
}

func (s *slowStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

func (s *slowStore) wait() {
	d := time.Duration(s.draw(60)) * time.Millisecond
	if s.draw(10) == 0 {
		d *= 10
	}
	s.clock.Sleep(d)
}

func (s *slowStore) read(ctx context.Context, k string) (row.Row, error) {
	s.wait()
	r := s.table.Read(k)
	s.wait()
	if s.draw(20) == 0 || ctx.Err() != nil {
		return row.Row{}, errStore
	}
	return r, nil
}

func (s *slowStore) commit(ctx context.Context, c commit.Commit) (bool, error) {
	s.wait()
	ok := s.table.Commit(c)
	s.wait()
	if s.draw(20) == 0 || ctx.Err() != nil {
		return false, errStore
	}
	return ok, nil
}

// overlap makes attempts for three ids at two hosts, several at the same time at each.
type overlap struct {
	clock clockwork.Clock

	mu       sync.Mutex
	attempts int
	runs     map[string]int // by id: attempts that run or have run
	faults   []string
}

// attempt makes one attempt. Nearly all end without having run.
func (o *overlap) attempt(ctx context.Context, i *idempotency.Idempotency, d *rand.Rand) {
	k := strconv.Itoa(d.IntN(3))
	r, v := i.Begin(ctx, "camp", k, o.nextName(), "body")
	o.check(k, v)
	if v.Outcome != "" {
		return
	}
	o.clock.Sleep(time.Duration(d.IntN(50)) * time.Millisecond)
	r.State = record.Done
	if d.IntN(30) > 0 {
		r.State = record.Void
		o.mu.Lock()
		o.runs[k]--
		o.mu.Unlock()
	}
	i.End("camp", k, r)
}

func (o *overlap) nextName() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	return strconv.Itoa(o.attempts)
}

func (o *overlap) check(id string, v outcome.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch v.Outcome {
	case "":
		o.runs[id]++
		if o.runs[id] > 1 {
			o.faults = append(o.faults, id+" runs twice")
		}
	case outcome.Answered:
		if o.runs[id] == 0 {
			o.faults = append(o.faults, id+" is answered and has not run")
		}
	case outcome.OutcomeUnknown:
		o.faults = append(o.faults, id+" is unknown, and no attempt ended so")
	}
}

// run returns when all attempts at one host have ended.
func (o *overlap) run(ctx context.Context, i *idempotency.Idempotency, seed uint64) {
	var w sync.WaitGroup
	for n := range uint64(4) {
		w.Go(func() {
			d := rand.New(rand.NewPCG(seed, n))
			for range 40 {
				o.attempt(ctx, i, d)
				o.clock.Sleep(time.Duration(d.IntN(100)) * time.Millisecond)
			}
		})
	}
	w.Wait()
}

// TestOverlappingAttempts guards against withholding an id of which no attempt has an
// unknown end, and against running it twice: attempts overlap with each other and with the
// writes of ended ones, at two hosts, on a slow store.
func TestOverlappingAttempts(t *testing.T) {
	// The race detector crashes when timers of a bubble fire on several processors.
	c := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(c) })
	n := uint64(20)
	if s := os.Getenv("SEEDS"); s != "" {
		var err error
		n, err = strconv.ParseUint(s, 10, 64)
		must.NoError(t, err)
	}
	for s := range n {
		t.Run(strconv.FormatUint(s+1, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { overlapHosts(t, s+1) })
		})
	}
}

func overlapHosts(t *testing.T, seed uint64) {
	c := clockwork.NewRealClock()
	s := &slowStore{clock: c, rand: rand.New(rand.NewPCG(seed, 0))}
	p := store.Store{Read: s.read, Commit: s.commit}
	o := &overlap{clock: c, runs: make(map[string]int)}
	x, stop := context.WithCancel(t.Context())
	var w, e sync.WaitGroup
	for h := range uint64(2) {
		i := &idempotency.Idempotency{
			Clock: c, Store: p, Host: fmt.Sprint("host-", h), Incarnation: 1, Timeout: time.Second,
			IsAlive:     func(string, uint64) bool { return true },
			CommitBatch: &commitbatch.Commitbatch{Clock: c, Commit: p.Commit, MaxRows: 16, Timeout: time.Second},
		}
		e.Go(func() { _ = i.Run(x) }) // it always returns nil
		w.Go(func() { o.run(x, i, 2*seed+h) })
	}
	w.Wait()
	stop()
	e.Wait()
	c.Sleep(time.Minute) // Commitbatch does not wait for its last commit
	must.SliceEmpty(t, o.faults, must.Sprintf("seed %d: %v", seed, o.faults))
}
