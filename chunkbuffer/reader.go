package chunkbuffer

import "io"

// reader reads chunks as if they were one.
type reader struct {
	chunks [][]byte // not read yet
	read   int      // of the first one
}

// Read fills p as far as there are bytes.
func (r *reader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && len(r.chunks) > 0 {
		c := copy(p[n:], r.chunks[0][r.read:])
		n += c
		r.read += c
		if r.read == len(r.chunks[0]) {
			r.chunks, r.read = r.chunks[1:], 0
		}
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}
