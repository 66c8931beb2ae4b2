// Package blocktable finds the client block of an address.
package blocktable

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gaissmai/bart"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/block"
)

// maxRegions limits the regions of one table. A block stores its region in one
// byte, so that millions of blocks fit in memory.
const maxRegions = 255

// Blocktable maps addresses to client blocks by the longest prefix. Readers
// take no lock; a change copies only the nodes on the path from the root.
type Blocktable struct {
	mu      sync.Mutex
	regions atomic.Pointer[[]string]
	table   atomic.Pointer[bart.Table[uint8]]
}

// Find returns the client block of an address and its nearest region.
func (b *Blocktable) Find(a netip.Addr) (netip.Prefix, string, bool) {
	t := b.table.Load()
	if t == nil {
		return netip.Prefix{}, "", false
	}
	a = a.Unmap().WithZone("")
	p, i, ok := t.LookupPrefixLPM(netip.PrefixFrom(a, a.BitLen()))
	if !ok {
		return netip.Prefix{}, "", false
	}
	return p, (*b.regions.Load())[i], true
}

// Len returns the number of client blocks.
func (b *Blocktable) Len() int {
	if t := b.table.Load(); t != nil {
		return t.Size()
	}
	return 0
}

// Replace builds a new table. Look-ups use the old one until it is complete.
func (b *Blocktable) Replace(l []block.Block) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := new(bart.Table[uint8])
	var r []string
	for _, v := range l {
		i, n, err := regionIndex(r, v.Region)
		if err != nil {
			return err
		}
		r = n
		t.Insert(v.Prefix, i)
	}
	b.regions.Store(&r)
	b.table.Store(t)
	return nil
}

// Change puts some client blocks and removes others. The time depends on the
// number of changes, not on the size of the table.
func (b *Blocktable) Change(put []block.Block, remove []netip.Prefix) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table.Load()
	if t == nil {
		t = new(bart.Table[uint8])
	}
	var r []string
	if p := b.regions.Load(); p != nil {
		r = *p
	}
	for _, p := range remove {
		t = t.DeletePersist(p)
	}
	for _, v := range put {
		i, n, err := regionIndex(r, v.Region)
		if err != nil {
			return err
		}
		r = n
		t = t.InsertPersist(v.Prefix, i)
	}
	// The names are stored first: a reader must never find an index without
	// a name.
	b.regions.Store(&r)
	b.table.Store(t)
	return nil
}

// regionIndex returns the index of a region's name, and a slice of names that
// includes it. Existing names keep their indexes, and a new name is added to a
// copy, so that the slice that readers use is never written to.
func regionIndex(names []string, region string) (uint8, []string, error) {
	for i, n := range names {
		if n == region {
			return uint8(i), names, nil
		}
	}
	if len(names) == maxRegions {
		return 0, nil, errors.Errorf("client blocks refer to more than %d regions", maxRegions)
	}
	return uint8(len(names)), append(names[:len(names):len(names)], region), nil
}
