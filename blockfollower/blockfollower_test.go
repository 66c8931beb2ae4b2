package blockfollower_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockfollower"
	"celeryreach.example/celeryreach/blockpublish"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// memoryPlatform is a platform in memory whose objects can be unavailable.
type memoryPlatform struct {
	table       memorytable.Memorytable
	mu          sync.Mutex
	objects     map[string][]byte
	unavailable bool
}

func (s *memoryPlatform) platform() store.Store {
	return store.Store{
		Read:   func(_ context.Context, k string) (row.Row, error) { return s.table.Read(k), nil },
		Commit: func(_ context.Context, c commit.Commit) (bool, error) { return s.table.Commit(c), nil },
		PutObject: func(_ context.Context, k string, b []byte) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.objects[k] = b
			return nil
		},
		GetObject: func(_ context.Context, k string) ([]byte, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable {
				return nil, io.ErrUnexpectedEOF
			}
			return s.objects[k], nil
		},
	}
}

func newFollower(p store.Store) *blockfollower.Blockfollower {
	return &blockfollower.Blockfollower{Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), Store: p, Timeout: time.Minute}
}

// A host that follows each version and one that starts at the end, with chunks
// from its peer only, both find the published block of every address. While
// chunks are unavailable, look-ups continue with the previous version.
func TestFollowersMatchPublishedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := &memoryPlatform{objects: make(map[string][]byte)}
		p := &blockpublish.Blockpublish{Clock: clockwork.NewFakeClock(), Store: s.platform()}
		f := newFollower(s.platform())
		l := make(map[netip.Prefix]string)
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			var put []block.Block
			var remove []netip.Prefix
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 1, 10, rapid.ID).Draw(t, "blocks") {
				q := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(n), 0, 0}), 16)
				if rapid.Bool().Draw(t, "remove") {
					remove = append(remove, q)
					delete(l, q)
					continue
				}
				l[q] = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "region"))
				put = append(put, block.Block{Prefix: q, Region: l[q]})
			}
			_, err := p.Change(ctx, put, remove)
			must.NoError(t, err)
			s.unavailable = rapid.Bool().Draw(t, "out")
			_ = f.Replica().Poll(ctx)
			s.unavailable = false
			must.NoError(t, f.Replica().Poll(ctx))
			assertBlocks(t, f, l)
		}
		s.unavailable = true
		g := newFollower(s.platform())
		g.Fetch = func(_ context.Context, h string) ([]byte, error) { return f.Chunk(h), nil }
		must.NoError(t, g.Replica().Offer(f.Replica().Content()))
		assertBlocks(t, g, l)
	})
}

func assertBlocks(t must.T, f *blockfollower.Blockfollower, l map[netip.Prefix]string) {
	must.EqOp(t, len(l), f.Len())
	for p, r := range l {
		q, n, ok := f.Find(p.Addr())
		must.True(t, ok)
		must.EqOp(t, p, q)
		must.EqOp(t, r, n)
	}
}

// BenchmarkVersion measures a host's cost of one changed block at the size
// expected in two years: the list of chunks, one chunk, and the table.
func BenchmarkVersion(b *testing.B) {
	const n = 2_200_000
	ctx := context.Background()
	s := &memoryPlatform{objects: make(map[string][]byte)}
	p := &blockpublish.Blockpublish{Clock: clockwork.NewFakeClock(), Store: s.platform()}
	l := make([]block.Block, n)
	for i := range l {
		l[i] = block.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(i>>16) + 1, byte(i >> 8), byte(i), 0}), 24), Region: "lagos"}
	}
	_, err := p.Change(ctx, l, nil)
	must.NoError(b, err)
	f := newFollower(s.platform())
	must.NoError(b, f.Replica().Poll(ctx))
	must.EqOp(b, n, f.Len())
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		v := l[i*7919%n]
		v.Region = fmt.Sprint(i % 9)
		_, err := p.Change(ctx, []block.Block{v}, nil)
		must.NoError(b, err)
		b.StartTimer()
		must.NoError(b, f.Replica().Poll(ctx))
	}
}
