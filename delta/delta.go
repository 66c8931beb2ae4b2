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

// stride is how many bytes are compared at a time.
const stride = 4096

// Make returns the delta that leads from a to b. It cuts both after each
// closing brace and line end, so that an inserted record does not shift the
// records behind it out of sight.
func Make(a, b []byte) []byte {
	w := &writer{}
	h := head(a, b)
	t := tail(a[h:], b[h:])
	if h > 0 {
		w.copy(0, h)
	}
	w.middle(a, b[h:len(b)-t], h, len(a)-t)
	if t > 0 {
		w.copy(len(a)-t, t)
	}
	w.flush()
	return w.out
}

// middle writes b, which stands where a has the bytes from one offset to
// another, by the records that both have there. Most changes leave all but a
// few records alone, and only those few are indexed.
func (w *writer) middle(a, b []byte, from, to int) {
	o := make(map[uint64]int)
	for i := from; i < to; {
		n := record(a[i:to])
		o[xxhash.Sum64(a[i:i+n])] = i
		i += n
	}
	c := from // where b stands in a if nothing was inserted or removed since
	for i := 0; i < len(b); {
		n := record(b[i:])
		r := b[i : i+n]
		p, ok := o[xxhash.Sum64(r)]
		// Equal records stand in many places; going on where b stands keeps
		// one run one operation.
		if bytes.HasPrefix(a[c:to], r) {
			p, ok = c, true
		}
		if ok && bytes.HasPrefix(a[p:to], r) {
			w.copy(p, n)
			c = p + n
		} else {
			w.insert(r)
			c += record(a[c:to])
		}
		i += n
	}
}

// head returns the length of the whole records that a and b begin with.
func head(a, b []byte) int {
	n := 0
	for n+stride <= min(len(a), len(b)) && bytes.Equal(a[n:n+stride], b[n:n+stride]) {
		n += stride
	}
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	for n > 0 && !ends(a[n-1]) {
		n--
	}
	return n
}

// tail returns the length of the whole records that a and b end with.
func tail(a, b []byte) int {
	n := 0
	for n+stride <= min(len(a), len(b)) && bytes.Equal(a[len(a)-n-stride:len(a)-n], b[len(b)-n-stride:len(b)-n]) {
		n += stride
	}
	for n < min(len(a), len(b)) && a[len(a)-n-1] == b[len(b)-n-1] {
		n++
	}
	// The first record of what is equal may begin before it.
	return n - record(a[len(a)-n:])
}

// ends reports whether a byte ends a record.
func ends(c byte) bool {
	return c == '}' || c == '\n'
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
		if ends(c) {
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
