// Package span divides a limit into disjoint intervals.
package span

import "sort"

// FullLength is the length of a complete limit. Every limit is an interval [0,
// FullLength), whatever its unit.
const FullLength = 1 << 20

// Span is the interval [From, To) of a limit.
type Span struct {
	// From is the first point.
	From uint32
	// To is the point after the last.
	To uint32
}

// Length returns the sum of the lengths of disjoint spans.
func Length(s []Span) uint32 {
	n := uint32(0)
	for _, v := range s {
		n += v.To - v.From
	}
	return n
}

// Contains reports whether a point is in one of the spans.
func Contains(s []Span, p uint32) bool {
	for _, v := range s {
		if v.From <= p && p < v.To {
			return true
		}
	}
	return false
}

// Join returns the union of two sets of spans in ascending order, with adjacent
// spans merged.
func Join(a, b []Span) []Span {
	s := append(append(make([]Span, 0, len(a)+len(b)), a...), b...)
	sort.Slice(s, func(i, j int) bool { return s[i].From < s[j].From })
	var r []Span
	for _, v := range s {
		if v.From >= v.To {
			continue
		}
		if n := len(r); n > 0 && r[n-1].To >= v.From {
			r[n-1].To = max(r[n-1].To, v.To)
			continue
		}
		r = append(r, v)
	}
	return r
}

// Intersect returns the points that are in both a and b, whose spans are each
// in ascending order.
func Intersect(a, b []Span) []Span {
	var r []Span
	for i, j := 0, 0; i < len(a) && j < len(b); {
		f, t := max(a[i].From, b[j].From), min(a[i].To, b[j].To)
		if f < t {
			r = append(r, Span{From: f, To: t})
		}
		if a[i].To < b[j].To {
			i++
		} else {
			j++
		}
	}
	return r
}

// Subtract returns the points that are in a but not in b, whose spans are each
// in ascending order.
func Subtract(a, b []Span) []Span {
	r := a
	for _, v := range b {
		var n []Span
		for _, w := range r {
			if f, t := w.From, min(w.To, v.From); f < t {
				n = append(n, Span{From: f, To: t})
			}
			if f, t := max(w.From, v.To), w.To; f < t {
				n = append(n, Span{From: f, To: t})
			}
		}
		r = n
	}
	return r
}

// Split returns the first n points of s and the rest.
func Split(s []Span, n uint32) (first, rest []Span) {
	for i, v := range s {
		l := v.To - v.From
		if l <= n {
			first = append(first, v)
			n -= l
			continue
		}
		if n > 0 {
			first = append(first, Span{From: v.From, To: v.From + n})
		}
		rest = append(rest, Span{From: v.From + n, To: v.To})
		return first, append(rest, s[i+1:]...)
	}
	return first, nil
}

// SplitEqually splits s into n pieces whose lengths differ by at most one.
func SplitEqually(s []Span, n int) [][]Span {
	r := make([][]Span, n)
	l := Length(s)
	for i := range n {
		p := l / uint32(n-i)
		r[i], s = Split(s, p)
		l -= p
	}
	return r
}
