// Package delta encodes a content as its difference from the previous content.
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Operations of a delta, each followed by unsigned varints.
const (
	opCopy   = 'c' // offset, length
	opInsert = 'i' // length, bytes
)

// compareBytes is how many bytes are compared at a time.
const compareBytes = 4096

// Make returns the delta from a to b. Both are split into records after each
// closing brace and line end, so that an inserted record does not prevent the
// following records from being matched.
func Make(a, b []byte) []byte {
	w := &writer{}
	h := commonPrefix(a, b)
	t := commonSuffix(a[h:], b[h:])
	if h > 0 {
		w.copy(0, h)
	}
	w.writeMiddle(a, b[h:len(b)-t], h, len(a)-t)
	if t > 0 {
		w.copy(len(a)-t, t)
	}
	w.flush()
	return w.out
}

// writeMiddle writes the delta from a[from:to] to b, in which the records that
// both contain are copied. Only the records in a[from:to] are indexed, which are
// few because most changes affect only a few records.
func (w *writer) writeMiddle(a, b []byte, from, to int) {
	o := make(map[uint64]int)
	for i := from; i < to; {
		n := firstRecordLength(a[i:to])
		o[xxhash.Sum64(a[i:i+n])] = i
		i += n
	}
	c := from // position in a that matches b[i:] if nothing was inserted or removed since
	for i := 0; i < len(b); {
		n := firstRecordLength(b[i:])
		r := b[i : i+n]
		p, ok := o[xxhash.Sum64(r)]
		// Equal records may occur at many positions. Continuing at the current
		// position keeps a run of copied records in one operation.
		if bytes.HasPrefix(a[c:to], r) {
			p, ok = c, true
		}
		if ok && bytes.HasPrefix(a[p:to], r) {
			w.copy(p, n)
			c = p + n
		} else {
			w.insert(r)
			c += firstRecordLength(a[c:to])
		}
		i += n
	}
}

// commonPrefix returns the length of the complete records with which both a and b
// begin.
func commonPrefix(a, b []byte) int {
	n := 0
	for n+compareBytes <= min(len(a), len(b)) && bytes.Equal(a[n:n+compareBytes], b[n:n+compareBytes]) {
		n += compareBytes
	}
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	for n > 0 && !endsRecord(a[n-1]) {
		n--
	}
	return n
}

// commonSuffix returns the length of the complete records with which both a and b
// end.
func commonSuffix(a, b []byte) int {
	n := 0
	for n+compareBytes <= min(len(a), len(b)) && bytes.Equal(a[len(a)-n-compareBytes:len(a)-n], b[len(b)-n-compareBytes:len(b)-n]) {
		n += compareBytes
	}
	for n < min(len(a), len(b)) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	// The equal bytes may begin in the middle of a record, so their first record
	// is excluded.
	return n - firstRecordLength(a[len(a)-n:])
}

// endsRecord reports whether a byte is the last one of a record.
func endsRecord(c byte) bool {
	return c == '}' || c == '\n'
}

// Apply returns the result of applying the delta d to a. The caller must verify the
// hash of the result, because a delta for another content can apply without an
// error.
func Apply(a, d []byte) ([]byte, error) {
	var b []byte
	for len(d) > 0 {
		o := d[0]
		x, r, err := readUvarint(d[1:])
		if err != nil {
			return nil, err
		}
		switch o {
		case opCopy:
			n, s, err := readUvarint(r)
			if err != nil {
				return nil, err
			}
			if x > uint64(len(a)) || n > uint64(len(a))-x {
				return nil, errors.New("delta copies from outside the source content")
			}
			b = append(b, a[x:x+n]...)
			d = s
		case opInsert:
			if x > uint64(len(r)) {
				return nil, errors.New("delta is truncated")
			}
			b = append(b, r[:x]...)
			d = r[x:]
		default:
			return nil, errors.Errorf("delta has an unknown operation %q", o)
		}
	}
	return b, nil
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errors.New("delta is truncated")
	}
	return v, b[n:], nil
}

// firstRecordLength returns the length of the first record of b.
func firstRecordLength(b []byte) int {
	for i, c := range b {
		if endsRecord(c) {
			return i + 1
		}
	}
	return len(b)
}

// writer encodes operations and merges adjacent ones of the same kind.
type writer struct {
	out     []byte
	offset  int
	length  int
	pending []byte
}

func (w *writer) copy(offset, length int) {
	if w.length > 0 && w.offset+w.length == offset {
		w.length += length
		return
	}
	w.flush()
	w.offset = offset
	w.length = length
}

func (w *writer) insert(b []byte) {
	if w.length > 0 {
		w.flush()
	}
	w.pending = append(w.pending, b...)
}

func (w *writer) flush() {
	if len(w.pending) > 0 {
		w.out = append(w.out, opInsert)
		w.out = binary.AppendUvarint(w.out, uint64(len(w.pending)))
		w.out = append(w.out, w.pending...)
		w.pending = w.pending[:0]
	}
	if w.length > 0 {
		w.out = append(w.out, opCopy)
		w.out = binary.AppendUvarint(w.out, uint64(w.offset))
		w.out = binary.AppendUvarint(w.out, uint64(w.length))
		w.length = 0
	}
}
