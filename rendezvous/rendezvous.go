// Package rendezvous implements weighted rendezvous hashing: each key has its own order
// of preference among the candidates, and removing a candidate moves only the keys that
// were assigned to it.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the preference of a key for a candidate; the highest score wins. Over
// many keys each candidate wins in proportion to its weight.
func Score(key, candidate string, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(Uniform(key, candidate))
}

// Rank returns the position of candidate among all in the order of preference of key, 0
// being the first. Weights are not considered.
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

// Uniform returns a number between 0 and 1, both excluded, that is a uniformly distributed
// hash of its arguments.
func Uniform(key, candidate string) float64 {
	var d xxhash.Digest
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}
