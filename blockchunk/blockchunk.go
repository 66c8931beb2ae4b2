// Package blockchunk encodes client blocks for storage. They are divided into
// chunks, so that a change replaces only the few chunks that it affects.
package blockchunk

import (
	"bytes"
	"net/netip"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/block"
)

// Count is the number of chunks. With 2.2 million client blocks a chunk has
// about 10 kB, and the list of hashes 266 kB.
const Count = 4096

// Empty replaces the hash of a chunk without client blocks.
const Empty = "-"

// Index returns the index of the chunk that holds a client block.
func Index(p netip.Prefix) int {
	b, err := p.MarshalBinary()
	if err != nil {
		panic(err) // MarshalBinary of a prefix never fails
	}
	return int(xxhash.Sum64(b) % Count)
}

// Format encodes a chunk: one line for each client block, sorted, so that the
// same blocks always have the same hash.
func Format(l []block.Block) []byte {
	s := make([]string, 0, len(l))
	for _, v := range l {
		s = append(s, v.Prefix.String()+" "+v.Region+"\n")
	}
	sort.Strings(s)
	return []byte(strings.Join(s, ""))
}

// Parse decodes a chunk or an operator's list of client blocks.
func Parse(b []byte) ([]block.Block, error) {
	l := make([]block.Block, 0, bytes.Count(b, []byte{'\n'}))
	for n, s := range strings.Split(string(b), "\n") {
		if s == "" {
			continue
		}
		a, r, ok := strings.Cut(s, " ")
		p, err := netip.ParsePrefix(a)
		if err != nil || !ok || r == "" || p != p.Masked() {
			return nil, errors.Errorf("line %d: want an address range without host bits and a region, not %q", n+1, s)
		}
		l = append(l, block.Block{Prefix: p, Region: r})
	}
	return l, nil
}

// ParseHashes decodes the list of the chunks' hashes.
func ParseHashes(b []byte) ([]string, error) {
	h := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	if len(h) != Count {
		return nil, errors.Errorf("list of hashes has %d chunks, want %d", len(h), Count)
	}
	return h, nil
}

// FormatHashes encodes the list of the chunks' hashes.
func FormatHashes(h []string) []byte {
	return []byte(strings.Join(h, "\n") + "\n")
}
