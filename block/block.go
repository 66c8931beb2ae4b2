// Package block describes client blocks: ranges of caller addresses that are
// steered together.
package block

import "net/netip"

// Block is a range of caller addresses and the region that is nearest to it.
type Block struct {
	// Prefix is the address range. The longest prefix that contains an
	// address applies.
	Prefix netip.Prefix
	// Region is the nearest region.
	Region string
}
