package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// body is the caller's body. It knows whether it has been read to its end.
type body struct {
	reader io.Reader
	empty  bool
	ended  atomic.Bool
}

// Read reads the caller's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// leave gives up the rest of the body. net/http's server otherwise reads up to
// 256 KB of it before it sends an answer, and a caller that sends slowly would
// get its refusal as late as it likes. A deadline in the past also ends a read
// of the transport that still waits for the caller.
func (b *body) leave(w http.ResponseWriter) {
	if b.empty || b.ended.Load() {
		return
	}
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex()               // not every writer has it, and those need none
	_ = c.SetReadDeadline(time.Unix(1, 0)) // as above
	w.Header().Set("Connection", "close")
}
