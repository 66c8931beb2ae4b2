// Package chunkbuffer buffers bytes of unknown number without copying them when it grows.
package chunkbuffer

import (
	"io"

	"github.com/pkg/errors"
)

// Each chunk is twice as large as the one before, so that little is occupied that is not used.
const (
	firstChunkBytes = 1 << 10
	maxChunkBytes   = 32 << 10
)

// ErrFull is returned if Take has refused memory.
var ErrFull = errors.New("the buffer may not grow")

// Chunkbuffer holds bytes in chunks.
type Chunkbuffer struct {
	// Take reports whether the buffer may occupy n more bytes; nil permits all.
	Take func(n int64) bool
	// Expected is how many bytes will come; zero or less if that is not known.
	Expected int64

	chunks [][]byte
	length int64
}

// Fill reads to the end of r or until more than limit bytes are held. Whole reports whether
// the end was reached. After ErrFull, reading can continue where it stopped.
func (b *Chunkbuffer) Fill(r io.Reader, limit int64) (whole bool, err error) {
	for b.length <= limit {
		c, err := b.space(limit)
		if err != nil {
			return false, err
		}
		n, err := r.Read((*c)[len(*c):cap(*c)])
		*c = (*c)[:len(*c)+n]
		b.length += int64(n)
		if errors.Is(err, io.EOF) {
			return b.length <= limit, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// space returns the last chunk, which has space left. At most one byte more than limit fits.
func (b *Chunkbuffer) space(limit int64) (*[]byte, error) {
	n := int64(firstChunkBytes)
	if b.Expected > 0 {
		n = min(b.Expected, maxChunkBytes)
	}
	if l := len(b.chunks); l > 0 {
		c := &b.chunks[l-1]
		if len(*c) < cap(*c) {
			return c, nil
		}
		n = max(firstChunkBytes, min(2*int64(cap(*c)), maxChunkBytes))
	}
	n = min(n, limit+1-b.length)
	if b.Take != nil && !b.Take(n) {
		return nil, ErrFull
	}
	b.chunks = append(b.chunks, make([]byte, 0, n))
	return &b.chunks[len(b.chunks)-1], nil
}

// Len returns how many bytes are held.
func (b *Chunkbuffer) Len() int64 {
	return b.length
}

// WriteTo writes all that is held, each chunk at once.
func (b *Chunkbuffer) WriteTo(w io.Writer) (int64, error) {
	var m int64
	for _, c := range b.chunks {
		n, err := w.Write(c)
		m += int64(n)
		if err != nil {
			return m, err
		}
	}
	return m, nil
}

// Reader returns a reader of all that is held.
func (b *Chunkbuffer) Reader() io.Reader {
	return &reader{chunks: b.chunks}
}
