package chunkbuffer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/chunkbuffer"
)

// Guards against bytes that are lost or come twice where chunks meet, and against memory that is not
// counted.
func TestFill(t *testing.T) {
	const limit = 100_000
	for _, n := range []int{0, 1, 1023, 1024, 1025, 70_000, limit, limit + 1, 3 * limit} {
		v := []byte(strings.Repeat("0123456789", n/10+1)[:n])
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
		} {
			var taken int64
			b := &chunkbuffer.Chunkbuffer{Expected: int64(n % 5000), Take: func(n int64) bool {
				taken += n
				return true
			}}
			r := wrap(bytes.NewReader(v))
			whole, err := b.Fill(r, limit)
			must.NoError(t, err)
			must.EqOp(t, n <= limit, whole, must.Sprint(name, n))
			must.EqOp(t, int64(min(n, limit+1)), b.Len(), must.Sprint(name, n))
			must.True(t, taken >= b.Len() && taken <= max(2*b.Len(), 5000)+1024, must.Sprint(name, n, taken))
			for _, c := range []io.Reader{b.Reader(), iotest.HalfReader(b.Reader())} {
				a, err := io.ReadAll(c)
				must.NoError(t, err)
				must.Eq(t, v[:b.Len()], a)
			}
		}
	}
	b := &chunkbuffer.Chunkbuffer{Take: func(int64) bool { return false }}
	_, err := b.Fill(strings.NewReader("a"), limit)
	must.True(t, errors.Is(err, chunkbuffer.ErrFull))
}
