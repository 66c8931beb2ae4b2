// Package whole passes answers on in a way that lets the caller tell a whole
// answer from one that broke off.
package whole

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/hop"
)

// pieceBytes is the memory that a long answer needs on its way through.
const pieceBytes = 32 << 10

// NotRunHeader is set by a backend server, with status 503, when it did not
// run the request. Callers never see it: what they are told comes from the
// system itself.
const NotRunHeader = "X-Not-Run"

// Errors of Copy.
var (
	// ErrBackend is an answer that broke off before anything was passed on.
	ErrBackend = errors.New("the answer broke off")
	// ErrBroken is an answer that broke off after its head had been passed on.
	ErrBroken = errors.New("the answer broke off after its head")
	// ErrCaller is a caller that stopped reading.
	ErrCaller = errors.New("the caller stopped reading")
)

// Whole passes answers on.
type Whole struct {
	// Clock sets write deadlines.
	Clock clockwork.Clock
	// Limit is how much of an answer is held back until it is complete.
	Limit int
	// Patience is how long a caller may take for one piece: a reader that has
	// stopped must not hold a slot.
	Patience time.Duration
	// Unframed lets answers pass that have neither length nor chunks and end
	// with their connection. It is for backend servers that reset connections
	// which break off, so that an end is told from a break.
	Unframed bool
}

// Copy writes the answer p to w. It calls free, once, when the backend server
// has sent all it will send; for held answers that is before the caller reads.
func (o *Whole) Copy(w http.ResponseWriter, p *http.Response, free func(error)) error {
	defer p.Body.Close()
	if !o.Unframed && !delimited(p) {
		free(ErrBackend)
		return errors.Wrap(ErrBackend, "it has neither length nor chunks, so its end cannot be told from a break")
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, int64(o.Limit)+1))
	if err != nil {
		free(ErrBackend)
		return errors.Wrap(ErrBackend, err.Error())
	}
	if len(b) <= o.Limit {
		free(nil)
		if p.Request != nil && p.Request.Method == http.MethodHead {
			head(w, p.StatusCode, p.Header, p.ContentLength)
			return nil
		}
		Write(w, p.StatusCode, p.Header, b)
		return nil
	}
	err = o.stream(w, p, b)
	free(err)
	return err
}

// Write writes a whole answer from memory.
func Write(w http.ResponseWriter, status int, h http.Header, b []byte) {
	n := int64(len(b))
	if status == http.StatusNoContent || status == http.StatusNotModified {
		n = -1
	}
	head(w, status, h, n)
	// A failed write means that the caller left; there is nobody to tell.
	_, _ = w.Write(b)
}

func (o *Whole) stream(w http.ResponseWriter, p *http.Response, b []byte) error {
	c := http.NewResponseController(w)
	head(w, p.StatusCode, p.Header, p.ContentLength)
	r := make([]byte, pieceBytes)
	for {
		// Not every writer has deadlines; frames between hosts have none.
		_ = c.SetWriteDeadline(o.Clock.Now().Add(o.Patience))
		if _, err := w.Write(b); err != nil {
			return errors.Wrap(ErrCaller, err.Error())
		}
		n, err := p.Body.Read(r)
		b = r[:n]
		if n > 0 {
			continue
		}
		if err == io.EOF {
			_ = c.SetWriteDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
	}
}

// delimited reports whether the end of an answer can be told from a break. A
// body that ends with its connection looks whole when the backend server dies.
func delimited(p *http.Response) bool {
	if p.ContentLength >= 0 || p.Uncompressed {
		return true
	}
	return len(p.TransferEncoding) > 0 && p.TransferEncoding[0] == "chunked"
}

func head(w http.ResponseWriter, status int, h http.Header, n int64) {
	c := h.Clone()
	hop.Strip(c)
	c.Del("Content-Length")
	c.Del(NotRunHeader)
	for k, v := range c {
		w.Header()[k] = v
	}
	if n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(status)
}
