// Package responsecopier copies responses to callers in such a way that a caller can
// distinguish a complete response from a truncated one.
package responsecopier

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/hopheader"
)

// streamBufferBytes is the size of the buffer through which a long response is copied.
const streamBufferBytes = 32 << 10

// NotRunHeader is set by a backend server, with status 503, when it did not run the
// request. It is not passed on to callers, which receive this information from the
// system itself.
const NotRunHeader = "X-Not-Run"

// Errors of Copy.
var (
	// ErrTruncated is a response that was truncated before any part of it was passed
	// on.
	ErrTruncated = errors.New("the answer broke off")
	// ErrTruncatedAfterHeader is a response that was truncated after its header was
	// passed on.
	ErrTruncatedAfterHeader = errors.New("the answer broke off after its head")
	// ErrCaller is a caller that stopped reading.
	ErrCaller = errors.New("the caller stopped reading")
)

// Responsecopier copies responses to callers.
type Responsecopier struct {
	// Clock sets write deadlines.
	Clock clockwork.Clock
	// BufferLimit is how many bytes of a response are buffered until it is complete.
	BufferLimit int
	// WriteTimeout is how long a caller may take to read one buffer: a caller that has
	// stopped reading must not occupy a slot.
	WriteTimeout time.Duration
	// AllowUndelimited allows responses that have neither a length nor chunked encoding
	// and end when their connection is closed. It is for backend servers that reset the
	// connection of a truncated response, so that a regular end can be recognized.
	AllowUndelimited bool
}

// Copy writes response p to w. It calls free once, when the backend server will send no
// more of p. For a buffered response, free is called before the caller reads any of it.
func (o *Responsecopier) Copy(w http.ResponseWriter, p *http.Response, free func(error)) error {
	defer p.Body.Close()
	if !o.AllowUndelimited && !delimited(p) {
		free(ErrTruncated)
		return errors.Wrap(ErrTruncated, "the answer has neither Content-Length nor chunked encoding, so truncation cannot be detected")
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, int64(o.BufferLimit)+1))
	if err != nil {
		free(ErrTruncated)
		return errors.Wrap(ErrTruncated, err.Error())
	}
	if len(b) <= o.BufferLimit {
		free(nil)
		if p.Request != nil && p.Request.Method == http.MethodHead {
			writeHeader(w, p.StatusCode, p.Header, p.ContentLength)
			return nil
		}
		Write(w, p.StatusCode, p.Header, b)
		return nil
	}
	err = o.stream(w, p, b)
	free(err)
	return err
}

// Write writes a complete response from memory.
func Write(w http.ResponseWriter, status int, h http.Header, b []byte) {
	n := int64(len(b))
	if status == http.StatusNoContent || status == http.StatusNotModified {
		n = -1
	}
	writeHeader(w, status, h, n)
	// A failed write means that the caller has gone away, so there is nobody to
	// inform.
	_, _ = w.Write(b)
}

// stream writes the first part b of response p, then copies the rest buffer by buffer.
func (o *Responsecopier) stream(w http.ResponseWriter, p *http.Response, b []byte) error {
	c := http.NewResponseController(w)
	writeHeader(w, p.StatusCode, p.Header, p.ContentLength)
	r := make([]byte, streamBufferBytes)
	for {
		// Not every writer supports deadlines; the writer for a stream between hosts
		// does not.
		_ = c.SetWriteDeadline(o.Clock.Now().Add(o.WriteTimeout))
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
			return errors.Wrap(ErrTruncatedAfterHeader, err.Error())
		}
	}
}

// delimited reports whether a truncated response can be detected. A body that ends
// when its connection is closed appears complete if the backend server fails.
func delimited(p *http.Response) bool {
	if p.ContentLength >= 0 || p.Uncompressed {
		return true
	}
	return len(p.TransferEncoding) > 0 && p.TransferEncoding[0] == "chunked"
}

// writeHeader writes status and header without hop-by-hop fields; n is the length of
// the body, -1 if it is not known.
func writeHeader(w http.ResponseWriter, status int, h http.Header, n int64) {
	c := h.Clone()
	hopheader.Strip(c)
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
