// Package homes describes which regions may serve a request.
package homes

import (
	"slices"
	"strings"
)

// Homes are the regions that may serve a request. The zero value allows all regions.
type Homes struct {
	// Bound is set if only Regions may serve the request. Empty Regions then allow none.
	Bound bool
	// Regions are the regions that may serve the request if Bound is set.
	Regions []string
}

// Intersect returns the regions that are in each of the lists of a configuration, in
// which an empty list allows all regions. The result shares the first list.
func Intersect(lists ...[]string) Homes {
	var h Homes
	for _, l := range lists {
		if len(l) > 0 {
			h = h.And(Homes{Bound: true, Regions: l})
		}
	}
	return h
}

// And returns the regions that both h and o allow.
func (h Homes) And(o Homes) Homes {
	switch {
	case !o.Bound:
		return h
	case !h.Bound:
		return o
	}
	l := slices.DeleteFunc(slices.Clone(h.Regions), func(g string) bool { return !o.Allows(g) })
	return Homes{Bound: true, Regions: l}
}

// Allows reports whether a region may serve the request.
func (h Homes) Allows(region string) bool {
	return !h.Bound || slices.Contains(h.Regions, region)
}

// IsEmpty reports whether no region may serve the request.
func (h Homes) IsEmpty() bool {
	return h.Bound && len(h.Regions) == 0
}

// String returns the regions separated by commas, "all" or "none".
func (h Homes) String() string {
	switch {
	case !h.Bound:
		return "all"
	case h.IsEmpty():
		return "none"
	}
	return strings.Join(h.Regions, ",")
}
