// Package division describes the table row that cuts limits into parts.
package division

import (
	"strings"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/part"
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
	// Parts are the parts by limit and holder name. A limit that is not
	// listed is divided as its kind is: "rate/x" as "rate/".
	Parts map[string]map[string]part.Part
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
	p, ok := d.Parts[limit]
	if !ok {
		p = d.Parts[kind(limit)]
	}
	return p[h.Name]
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

func kind(limit string) string {
	i := strings.IndexByte(limit, '/')
	return limit[:i+1]
}
