// Package delta turns one content into the next by copying what both share.
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

// Make returns the delta that leads from a to b. It cuts both after each
// closing brace and line end, so that an inserted record does not shift the
// records behind it out of sight.
func Make(a, b []byte) []byte {
	o := make(map[uint64]int)
	for i := 0; i < len(a); {
		n := record(a[i:])
		o[xxhash.Sum64(a[i:i+n])] = i
		i += n
	}
	w := &writer{}
	c := 0 // where b stands in a if nothing was inserted or removed since
	for i := 0; i < len(b); {
		n := record(b[i:])
		r := b[i : i+n]
		p, ok := o[xxhash.Sum64(r)]
		// Equal records stand in many places; going on where b stands keeps
		// one run one operation.
		if bytes.HasPrefix(a[c:], r) {
			p, ok = c, true
		}
		if ok && bytes.HasPrefix(a[p:], r) {
			w.copy(p, n)
			c = p + n
		} else {
			w.insert(r)
			c += record(a[c:])
		}
		i += n
	}
	w.flush()
	return w.out
}

// Apply returns what d makes of a. The result is only to be trusted after its
// hash was compared: a delta for another content can apply without an error.
func Apply(a, d []byte) ([]byte, error) {
	var b []byte
	for len(d) > 0 {
		o := d[0]
		x, r, err := number(d[1:])
		if err != nil {
			return nil, err
		}
		switch o {
		case opCopy:
			n, s, err := number(r)
			if err != nil {
				return nil, err
			}
			if x > uint64(len(a)) || n > uint64(len(a))-x {
				return nil, errors.New("delta copies from outside the content")
			}
			b = append(b, a[x:x+n]...)
			d = s
		case opInsert:
			if x > uint64(len(r)) {
				return nil, errors.New("delta is cut off")
			}
			b = append(b, r[:x]...)
			d = r[x:]
		default:
			return nil, errors.Errorf("delta has an unknown operation %q", o)
		}
	}
	return b, nil
}

func number(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errors.New("delta is cut off")
	}
	return v, b[n:], nil
}

// record returns the length of the first record of b.
func record(b []byte) int {
	for i, c := range b {
		if c == '}' || c == '\n' {
			return i + 1
		}
	}
	return len(b)
}

// writer joins neighboring operations of one kind.
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
