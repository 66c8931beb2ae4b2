package countstore_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/countstore"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// faultyStore is an in-memory platform whose object writes can fail.
type faultyStore struct {
	table   memorytable.Memorytable
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
	puts    chan struct{}
}

func (s *faultyStore) platform() store.Store {
	return store.Store{
		Scan: func(_ context.Context, p string) ([]row.Row, error) { return s.table.Scan(p), nil },
		Commit: func(_ context.Context, c commit.Commit) (bool, error) {
			return s.table.Commit(c), nil
		},
		PutObject: func(_ context.Context, n string, b []byte) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			defer func() { s.puts <- struct{}{} }()
			if s.down {
				return errors.New("down")
			}
			s.objects[n] = b
			return nil
		},
		GetObject: func(_ context.Context, n string) ([]byte, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.objects[n], nil
		},
	}
}

// TestCountsStoredOnce checks that each count is stored exactly once and returned only
// while its process does not run. The host counts in three minutes, the store
// is down at the first write, and the host ends in the third minute: the second
// write and the final one must contain all counts.
func TestCountsStoredOnce(t *testing.T) {
	c := clockwork.NewFakeClockAt(time.Unix(60_000_000, 0))
	s := &faultyStore{objects: make(map[string][]byte), puts: make(chan struct{}, 10), down: true}
	v := hostcounts.Hostcounts{Host: "h", Incarnation: 7, Region: "north"}
	var mu sync.Mutex
	count := func(n uint64) {
		mu.Lock()
		defer mu.Unlock()
		v.Tallies = append(v.Tallies, requestcounts.Requestcounts{Minute: c.Now().Unix() / 60, Account: "a", Service: "s", Answered: n})
	}
	k := &countstore.Countstore{
		Clock: c, Log: log.New(io.Discard), Store: s.platform(), Interval: time.Minute,
		Counts: func() hostcounts.Hostcounts {
			mu.Lock()
			defer mu.Unlock()
			v.At = c.Now()
			return v
		},
	}
	x, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	count(1)
	go func() { d <- k.Run(x) }()
	for _, n := range []uint64{2, 4} {
		must.NoError(t, c.BlockUntilContext(x, 1))
		c.Advance(time.Minute)
		<-s.puts
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		count(n)
	}
	f()
	must.NoError(t, <-d)
	r, err := k.Load(context.Background(), func(string, uint64) bool { return false })
	must.NoError(t, err)
	var a uint64
	for _, y := range r {
		for _, z := range y.Tallies {
			a += z.Answered
		}
	}
	must.Eq(t, 7, a)
	must.Len(t, 2, r)
	r, err = k.Load(context.Background(), func(h string, i uint64) bool { return h == "h" && i == 7 })
	must.NoError(t, err)
	must.SliceEmpty(t, r)
	c.Advance(7 * time.Hour)
	r, err = k.Load(context.Background(), func(string, uint64) bool { return false })
	must.NoError(t, err)
	must.SliceEmpty(t, r)
	must.SliceEmpty(t, s.table.Scan("burn/"))
}
