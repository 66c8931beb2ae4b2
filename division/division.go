// Package division describes the table row that divides limits among hosts.
package division

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/limitpart"
	"celeryreach.example/celeryreach/span"
)

// RowKey is the key of the division row.
const RowKey = "division"

// RatePrefix is the prefix of limits for the rate and burst of client accounts.
const RatePrefix = "rate/"

// Division is one epoch of the division row. It is immutable once written.
type Division struct {
	// Epoch is the sequence number of the division.
	Epoch uint64
	// Author is the name of the host that wrote it.
	Author string
	// Holders are the processes that hold leased parts. A leased part may be
	// used only while a quorum of them confirms the epoch.
	Holders []holder.Holder
	// Silent are the processes of failure domains from which no heartbeat is
	// received. They keep their floor, since they may still run on the other
	// side of a network partition, but they do not confirm the epoch.
	Silent []holder.Holder `json:",omitzero"`
	// Parts are the parts by limit and holder name. For an account that is not
	// listed, one holder chosen by rendezvous hashing has the entire leased
	// rate, and one host of each failure domain has the entire floor of that
	// domain. Splitting a small burst further would leave holders with less than
	// one token, which no request can use.
	Parts map[string]map[string]limitpart.Limitpart
	// FloorSpans are the floors of each failure domain, the same for every rate.
	FloorSpans map[string][]span.Span
	// LeasedSpans is the rest of every rate, which is leased to holders.
	LeasedSpans []span.Span
	// Floors are the failure domains that have a floor: a part of each limit
	// that is permanently theirs.
	Floors []string
	// FloorFraction is the fraction of each limit that is used for floors, 0..1.
	FloorFraction float64
	// FloorEpoch is the epoch that last changed Floors or FloorFraction.
	FloorEpoch uint64
	// PriorFloors are the failure domains that had a floor before FloorEpoch.
	// They are kept until each of them is known to have stopped using its prior
	// floor.
	PriorFloors []string `json:",omitzero"`
	// PriorFraction is the FloorFraction that applied to PriorFloors.
	PriorFraction float64 `json:",omitzero"`
	// Earlier are the epochs that some host may still use, oldest first. No host
	// uses a leased part of an epoch before the first of them.
	Earlier []Division `json:",omitzero"`
}

// Part returns the part of a limit that h holds.
func (d *Division) Part(limit string, h holder.Holder) limitpart.Limitpart {
	if !d.Includes(h) {
		return limitpart.Limitpart{}
	}
	if p, ok := d.Parts[limit]; ok {
		return p[h.Name]
	}
	if !strings.HasPrefix(limit, RatePrefix) {
		return limitpart.Limitpart{}
	}
	var p limitpart.Limitpart
	if d.DefaultHolder(limit, h.Domain) == h.Name {
		p.Floor = d.FloorSpans[h.Domain]
	}
	if d.DefaultHolder(limit, "") == h.Name {
		p.Leased = d.LeasedSpans
	}
	return p
}

// Leased returns the spans of a limit that are leased to any holder.
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

// DefaultHolder returns the name of the holder that rendezvous hashing chooses for a
// limit. The candidates are the processes of a failure domain, the silent ones
// included, or, if domain is empty, all that hold leased parts.
func (d *Division) DefaultHolder(limit, domain string) string {
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

// score is the rendezvous hashing weight of a host for a limit. The combined
// hash is mixed again, since a plain combination of the two hashes would rank
// the hosts in the same order for many limits.
func score(limit, name string) uint64 {
	x := xxhash.Sum64String(limit) ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Includes reports whether h holds parts in this division.
func (d *Division) Includes(h holder.Holder) bool {
	return find(d.Holders, h) || find(d.Silent, h)
}

// HoldsLease reports whether h holds leased parts and confirms the epoch.
func (d *Division) HoldsLease(h holder.Holder) bool {
	return find(d.Holders, h)
}

// UseQuorum is how many holders must confirm the epoch before a holder may use
// its leased parts. The holder itself counts as one of them. The quorum is at
// least two: a single holder has no other process to confirm its epoch and
// depends on reading the table.
func (d *Division) UseQuorum() int {
	return max(len(d.Holders)/2+1, 2)
}

// ReleaseQuorum is how many holders must have been in a later epoch for Hold
// before all use of this epoch has ended. Any set of UseQuorum holders then
// contains at least one holder that has left this epoch.
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
