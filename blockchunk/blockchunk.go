// Package blockchunk is the form in which client blocks are stored: in chunks,
// of which a change replaces the few that it touches.
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

// Count is the number of chunks: 2.2 million client blocks make chunks of about
// 10 kB, and the list of their hashes has 266 kB.
const Count = 4096

// Empty stands for the hash of a chunk without client blocks.
const Empty = "-"

// Index returns the chunk of a client block.
func Index(p netip.Prefix) int {
	b, err := p.MarshalBinary()
	if err != nil {
		panic(err) // it never fails
	}
	return int(xxhash.Sum64(b) % Count)
}

// Format returns a chunk: a line for each client block, in order, so that the
// same blocks always have the same hash.
func Format(l []block.Block) []byte {
	s := make([]string, 0, len(l))
	for _, v := range l {
		s = append(s, v.Prefix.String()+" "+v.Region+"\n")
	}
	sort.Strings(s)
	return []byte(strings.Join(s, ""))
}

// Parse reads a chunk, or an operator's list.
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

// Hashes reads the list of the chunks' hashes.
func Hashes(b []byte) ([]string, error) {
	h := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	if len(h) != Count {
		return nil, errors.Errorf("%d chunks instead of %d", len(h), Count)
	}
	return h, nil
}

// Manifest returns the list of the chunks' hashes.
func Manifest(h []string) []byte {
	return []byte(strings.Join(h, "\n") + "\n")
}
