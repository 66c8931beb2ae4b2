// Package division describes the table row that cuts limits into parts.
package division

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/part"
	"celeryreach.example/celeryreach/span"
)

// RowKey is the key of the row.
const RowKey = "division"

// RatePrefix starts the limits of client accounts' rate and burst.
const RatePrefix = "rate/"

// Division is one epoch of the row. It never changes once it is written.
type Division struct {
	// Epoch is the number of the division.
	Epoch uint64
	// Author is the host that wrote it.
	Author string
	// Holders are the processes that hold leased parts. Every leased part is
	// used only while most of them vouch for the epoch.
	Holders []holder.Holder
	// Silent are processes of failure domains from which nobody is heard. They
	// keep their floor, since they may run behind a cut, and vouch for nothing.
	Silent []holder.Holder `json:",omitzero"`
	// Parts are the parts by limit and holder name. The rate of an account that
	// is not listed belongs whole to one holder, chosen by rendezvous hashing,
	// and each failure domain's floor of it to one host there: tokens of a
	// small burst are of use only where there is at least a whole one.
	Parts map[string]map[string]part.Part
	// FloorSpans are the failure domains' floors of each rate.
	FloorSpans map[string][]span.Span
	// LeasedSpans is the leased rest of each rate.
	LeasedSpans []span.Span
	// Floors are the failure domains that have a floor.
	Floors []string
	// FloorFraction is the floors' part of each limit, 0..1.
	FloorFraction float64
	// FloorEpoch is the epoch that last changed Floors or FloorFraction.
	FloorEpoch uint64
	// PriorFloors are the floors before FloorEpoch, until each of their
	// failure domains is known to have let go of them.
	PriorFloors []string `json:",omitzero"`
	// PriorFraction is the fraction that belongs to PriorFloors.
	PriorFraction float64 `json:",omitzero"`
	// Earlier are the epochs that may still be in use somewhere, oldest first.
	// Nobody uses a leased part of an epoch before the first of them.
	Earlier []Division `json:",omitzero"`
}

// Part returns what a holder has of a limit.
func (d *Division) Part(limit string, h holder.Holder) part.Part {
	if !d.Names(h) {
		return part.Part{}
	}
	if p, ok := d.Parts[limit]; ok {
		return p[h.Name]
	}
	if !strings.HasPrefix(limit, RatePrefix) {
		return part.Part{}
	}
	var p part.Part
	if d.Chief(limit, h.Domain) == h.Name {
		p.Floor = d.FloorSpans[h.Domain]
	}
	if d.Chief(limit, "") == h.Name {
		p.Leased = d.LeasedSpans
	}
	return p
}

// Leased returns what of a limit is leased to any holder.
func (d *Division) Leased(limit string) []span.Span {
	p, ok := d.Parts[limit]
	if !ok && strings.HasPrefix(limit, RatePrefix) {
		return d.LeasedSpans
	}
	var r []span.Span
	for _, v := range p {
		r = span.Join(r, v.Leased)
	}
	return r
}

// Chief returns the holder that rendezvous hashing chooses for a limit, among
// those of a failure domain or, if that is empty, all that hold leased parts.
func (d *Division) Chief(limit, domain string) string {
	n, m := "", uint64(0)
	for i := range len(d.Holders) + len(d.Silent) {
		var h holder.Holder
		if i < len(d.Holders) {
			h = d.Holders[i]
		} else {
			h = d.Silent[i-len(d.Holders)]
		}
		if domain == "" && i >= len(d.Holders) || domain != "" && h.Domain != domain {
			continue
		}
		if s := score(limit, h.Name); n == "" || s > m {
			n, m = h.Name, s
		}
	}
	return n
}

// score is the weight of a host for a limit. The sums are mixed, since sums of
// the two hashes alone would order the hosts alike for many limits.
func score(limit, name string) uint64 {
	x := xxhash.Sum64String(limit) ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Names reports whether h has parts.
func (d *Division) Names(h holder.Holder) bool {
	return find(d.Holders, h) || find(d.Silent, h)
}

// Leases reports whether h holds leased parts and vouches for the epoch.
func (d *Division) Leases(h holder.Holder) bool {
	return find(d.Holders, h)
}

// UseQuorum is how many of the holders, the user included, must vouch for the
// epoch. A single holder can have no witness and depends on the table.
func (d *Division) UseQuorum() int {
	return max(len(d.Holders)/2+1, 2)
}

// ReleaseQuorum is how many of the holders must have moved on for Hold before
// all use of the epoch has ended: any set of UseQuorum contains one of them.
func (d *Division) ReleaseQuorum() int {
	return max(len(d.Holders)-d.UseQuorum()+1, 0)
}

func find(s []holder.Holder, h holder.Holder) bool {
	for _, v := range s {
		if v.Name == h.Name && v.Incarnation == h.Incarnation {
			return true
		}
	}
	return false
}
