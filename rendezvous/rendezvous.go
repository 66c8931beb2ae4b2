// Package rendezvous is weighted rendezvous hashing: each key prefers the
// candidates in an order of its own, and a candidate that goes takes only its
// own keys with it.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns how much a key prefers a candidate; the highest wins. Over many
// keys each candidate wins in proportion to its weight.
func Score(key, candidate string, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(Uniform(key, candidate))
}

// Rank returns at which place candidate stands among all in the order that key
// prefers, zero being the first.
func Rank(key, candidate string, all []string) int {
	s := Uniform(key, candidate)
	n := 0
	for _, c := range all {
		if c != candidate && Uniform(key, c) > s {
			n++
		}
	}
	return n
}

// Uniform returns a number in 0..1, both excluded, that depends on nothing but
// its arguments.
func Uniform(key, candidate string) float64 {
	var d xxhash.Digest
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}
