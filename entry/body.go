package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

// heldBytes is the size up to which a body is read before the request waits
// for a slot.
const heldBytes = 64 << 10

// body is the caller's body. It knows whether it has been read to its end.
type body struct {
	reader io.Reader
	writer http.ResponseWriter
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

// take makes the body that of r. A small one is held in memory: net/http notices
// that a caller has left only after the body has been read, and would keep the
// request of a gone caller in the queue; and a held body can be sent again after
// proof that the request did not run.
func (b *body) take(r *request.Request) outcome.Outcome {
	if b.empty {
		return outcome.Outcome{}
	}
	r.Body = b
	if r.Length < 0 || r.Length > heldBytes {
		return outcome.Outcome{}
	}
	c := http.NewResponseController(b.writer)
	_ = c.SetReadDeadline(r.Deadline) // not every writer has deadlines, and those need none
	p, err := io.ReadAll(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(outcome.DeadlineExceeded, "the body did not arrive in time")
	}
	_ = c.SetReadDeadline(time.Time{}) // as above
	if err != nil {
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the body broke off"}
	}
	r.Rewind = func() io.Reader { return bytes.NewReader(p) }
	r.Body = r.Rewind()
	return outcome.Outcome{}
}

// leave gives up the rest of the body. net/http's server otherwise reads up to
// 256 KB of it before it sends an answer, and a caller that sends slowly would
// get its refusal as late as it likes. A deadline in the past also ends a read
// of the transport that still waits for the caller.
func (b *body) leave() {
	if b.empty || b.ended.Load() {
		return
	}
	c := http.NewResponseController(b.writer)
	_ = c.EnableFullDuplex()               // not every writer has it, and those need none
	_ = c.SetReadDeadline(time.Unix(1, 0)) // as above
	b.writer.Header().Set("Connection", "close")
}
