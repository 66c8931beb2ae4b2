package blocktable_test

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blocktable"
)

const (
	benchmarkBlocks = 2_200_000
	blocksPerIPv6   = 8 // one block in this many is an IPv6 range
	ipv4Bytes       = 4
)

// A table that was changed step by step finds the same blocks as a linear
// search of a list, whatever was put and removed.
func TestLongestPrefix(t *testing.T) {
	g := rapid.Custom(func(t *rapid.T) netip.Prefix {
		a := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "b")), byte(rapid.IntRange(0, 3).Draw(t, "c")), 0})
		p, err := a.Prefix(rapid.IntRange(8, 24).Draw(t, "bits"))
		must.NoError(t, err)
		return p
	})
	rapid.Check(t, func(t *rapid.T) {
		var b blocktable.Blocktable
		l := make(map[netip.Prefix]string)
		for i, p := range rapid.SliceOfN(g, 1, 30).Draw(t, "put") {
			l[p] = strconv.Itoa(i % 3)
			must.NoError(t, b.Change([]block.Block{{Prefix: p, Region: l[p]}}, nil))
		}
		for _, p := range rapid.SliceOfN(g, 0, 10).Draw(t, "removed") {
			delete(l, p)
			must.NoError(t, b.Change(nil, []netip.Prefix{p}))
		}
		must.EqOp(t, len(l), b.Len())
		for _, p := range rapid.SliceOfN(g, 1, 30).Draw(t, "asked") {
			w := netip.Prefix{}
			for q := range l {
				if q.Contains(p.Addr()) && (!w.IsValid() || q.Bits() > w.Bits()) {
					w = q
				}
			}
			f, r, ok := b.Find(p.Addr())
			must.EqOp(t, w.IsValid(), ok)
			must.EqOp(t, w, f)
			must.EqOp(t, l[w], r)
		}
	})
}

// randomBlocks returns client blocks with prefix lengths like those of the
// Internet, mostly /24 and /48.
func randomBlocks(n int) []block.Block {
	r := rand.New(rand.NewPCG(1, 2))
	h := make(map[netip.Prefix]bool, n)
	o := make([]block.Block, 0, n)
	for len(o) < n {
		p := randomPrefix(r)
		if !h[p] {
			h[p] = true
			o = append(o, block.Block{Prefix: p, Region: strconv.Itoa(len(o) % 9)})
		}
	}
	return o
}

func randomPrefix(r *rand.Rand) netip.Prefix {
	b := make([]byte, ipv4Bytes)
	l := []int{16, 18, 19, 20, 21, 22, 22, 23, 24, 24, 24, 24, 24, 24, 24, 24}
	if r.IntN(blocksPerIPv6) == 0 {
		b = make([]byte, 16)
		l = []int{32, 36, 40, 44, 48, 48, 48, 48}
	}
	for i := range 6 {
		b[i%len(b)] = byte(r.Uint32())
	}
	b[0] = 1 + b[0]%223
	a, _ := netip.AddrFromSlice(b)
	p, _ := a.Prefix(l[r.IntN(len(l))])
	return p
}

// heapBytes runs the garbage collector twice, since pooled buffers survive one
// collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkFind(b *testing.B) {
	l := randomBlocks(benchmarkBlocks)
	var t blocktable.Blocktable
	h := heapBytes()
	must.NoError(b, t.Replace(l))
	h = heapBytes() - h
	for i := 0; b.Loop(); i++ {
		t.Find(l[i*7919%len(l)].Prefix.Addr())
	}
	b.ReportMetric(float64(h)/(1<<20), "MB")
}

func BenchmarkChangeOne(b *testing.B) {
	l := randomBlocks(benchmarkBlocks)
	var t blocktable.Blocktable
	must.NoError(b, t.Replace(l))
	for i := 0; b.Loop(); i++ {
		v := l[i*7919%len(l)]
		v.Region = "0"
		must.NoError(b, t.Change([]block.Block{v}, nil))
	}
}

// BenchmarkReplaceAll is the baseline in which each change rebuilds the
// complete table.
func BenchmarkReplaceAll(b *testing.B) {
	l := randomBlocks(benchmarkBlocks)
	var t blocktable.Blocktable
	for b.Loop() {
		must.NoError(b, t.Replace(l))
	}
}
