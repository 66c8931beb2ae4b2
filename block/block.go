// Package block describes client blocks: ranges of caller addresses that are
// steered as one.
package block

import "net/netip"

// Block is a range of caller addresses and the region that is nearest to it.
type Block struct {
	// Prefix is the address range; the longest match decides.
	Prefix netip.Prefix
	// Region is the nearest region.
	Region string
}
