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

// maxBufferedBytes is the maximum size of a body that is buffered before the
// request waits for a slot.
const maxBufferedBytes = 64 << 10

// body is the body of a caller's request. It records whether it has been read
// to its end.
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

// attach sets the body of r, and buffers it in memory if it is small. net/http
// notices that a caller has disconnected only after the body has been read, so
// the request of a disconnected caller would otherwise stay in the queue. A
// buffered body can also be sent again after proof that the request did not
// run.
func (b *body) attach(r *request.Request) outcome.Outcome {
	if b.empty {
		return outcome.Outcome{}
	}
	r.Body = b
	c := http.NewResponseController(b.writer)
	if r.Length < 0 || r.Length > maxBufferedBytes {
		// The response may begin before the body was read. Without full duplex, net/http would then
		// discard parts of what is being sent on.
		_ = c.EnableFullDuplex() // writers without full duplex need none
		return outcome.Outcome{}
	}
	_ = c.SetReadDeadline(r.Deadline) // writers that support no deadlines need none
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

// abandon discards the unread rest of the body. Otherwise the net/http server
// reads up to 256 KB of it before it sends a response, so a slow caller would
// delay its own refusal without limit. A deadline in the past also ends a read
// of the body in which the transport still waits for the caller.
func (b *body) abandon() {
	if b.empty || b.ended.Load() {
		return
	}
	c := http.NewResponseController(b.writer)
	_ = c.EnableFullDuplex()               // writers without full duplex need none
	_ = c.SetReadDeadline(time.Unix(1, 0)) // as above
	b.writer.Header().Set("Connection", "close")
}
