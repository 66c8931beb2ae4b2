// Package route divides the client blocks of one service and one home region
// between regions.
package route

import (
	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/segment"
)

// TotalPoints is the number of points that a route divides between regions.
const TotalPoints = 1_000_000

// Route maps each point to a region. Each client block has a fixed point, so
// moving a range of points moves exactly the blocks in it, and moving the range
// back restores them.
type Route struct {
	// Service is the service whose requests are routed.
	Service string
	// Home is the region that is nearest to the client blocks.
	Home string
	// Segments cover the points from 0 to TotalPoints.
	Segments []segment.Segment
}

// New returns the route that keeps every client block in its home region.
func New(service, home string) Route {
	return Route{Service: service, Home: home, Segments: []segment.Segment{{Until: TotalPoints, Region: home}}}
}

// Point returns the point of a client block.
func Point(service, block string) int {
	var d xxhash.Digest
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(block)
	return int(d.Sum64() % TotalPoints)
}

// Find returns the segment of a point.
func (r Route) Find(point int) segment.Segment {
	for _, s := range r.Segments {
		if point < s.Until {
			return s
		}
	}
	return segment.Segment{Until: TotalPoints, Region: r.Home}
}

// PointCount returns the number of points of a region.
func (r Route) PointCount(region string) int {
	n := 0
	b := 0
	for _, s := range r.Segments {
		if s.Region == region {
			n += s.Until - b
		}
		b = s.Until
	}
	return n
}

// Shift returns the route after moving up to n points from one region to
// another. No other point changes its region. Points adjacent to those of the
// destination move first, which keeps the number of segments small.
func (r Route) Shift(from, to string, n int) Route {
	s := toPieces(r.Segments)
	for n > 0 {
		i, f := findPiece(s, from, to)
		if i < 0 {
			break
		}
		k := min(n, s[i].length)
		n -= k
		s = splitPiece(s, i, k, to, f)
	}
	r.Segments = toSegments(s)
	return r
}

// piece is a segment described by its length.
type piece struct {
	region string
	length int
}

func toPieces(s []segment.Segment) []piece {
	var r []piece
	b := 0
	for _, v := range s {
		r = append(r, piece{region: v.Region, length: v.Until - b})
		b = v.Until
	}
	return r
}

// findPiece returns the index of the piece to take points from, and whether to
// take them from its front. The index is -1 if the region has none.
func findPiece(s []piece, from, to string) (i int, front bool) {
	l := -1
	for i, p := range s {
		if p.region != from {
			continue
		}
		if i > 0 && s[i-1].region == to {
			return i, true
		}
		if i+1 < len(s) && s[i+1].region == to {
			return i, false
		}
		l = i
	}
	return l, false
}

// splitPiece assigns k points of piece i to another region.
func splitPiece(s []piece, i, k int, to string, front bool) []piece {
	m := piece{region: to, length: k}
	o := piece{region: s[i].region, length: s[i].length - k}
	n := []piece{o, m}
	if front {
		n = []piece{m, o}
	}
	r := append(append(append([]piece(nil), s[:i]...), n...), s[i+1:]...)
	return mergePieces(r)
}

// mergePieces drops empty pieces and joins adjacent ones of the same region.
func mergePieces(s []piece) []piece {
	var r []piece
	for _, p := range s {
		switch {
		case p.length == 0:
		case len(r) > 0 && r[len(r)-1].region == p.region:
			r[len(r)-1].length += p.length
		default:
			r = append(r, p)
		}
	}
	return r
}

func toSegments(s []piece) []segment.Segment {
	var r []segment.Segment
	b := 0
	for _, p := range s {
		b += p.length
		r = append(r, segment.Segment{Until: b, Region: p.region})
	}
	return r
}
