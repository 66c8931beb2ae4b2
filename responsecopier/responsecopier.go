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

	"celeryreach.example/celeryreach/chunkbuffer"
	"celeryreach.example/celeryreach/hopheader"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/memoryhold"
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
	// Memory is where the memory for buffered responses comes from; nil has no limit. A response
	// for which there is none is passed on before it is complete.
	Memory *memorybudget.Memorybudget
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
	h := &memoryhold.Memoryhold{Budget: o.Memory}
	defer h.Release()
	b := &chunkbuffer.Chunkbuffer{Take: h.Take, Expected: p.ContentLength}
	a, err := b.Fill(p.Body, int64(o.BufferLimit))
	if err != nil && !errors.Is(err, chunkbuffer.ErrFull) {
		free(ErrTruncated)
		return errors.Wrap(ErrTruncated, err.Error())
	}
	if a {
		free(nil)
		o.writeWhole(w, p, b)
		return nil
	}
	err = o.stream(w, p, b, h)
	free(err)
	return err
}

// writeWhole writes a complete response whose body is b.
func (o *Responsecopier) writeWhole(w http.ResponseWriter, p *http.Response, b *chunkbuffer.Chunkbuffer) {
	if p.Request != nil && p.Request.Method == http.MethodHead {
		writeHeader(w, p.StatusCode, p.Header, p.ContentLength)
		return
	}
	writeHeader(w, p.StatusCode, p.Header, bodyLength(p.StatusCode, b.Len()))
	// A failed write means that the caller has gone away, so there is nobody to
	// inform.
	_, _ = b.WriteTo(w)
}

// bodyLength returns the length n that a response states, -1 if it may state none.
func bodyLength(status int, n int64) int64 {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return -1
	}
	return n
}

// Write writes a complete response from memory.
func Write(w http.ResponseWriter, status int, h http.Header, b []byte) {
	writeHeader(w, status, h, bodyLength(status, int64(len(b))))
	// A failed write means that the caller has gone away, so there is nobody to
	// inform.
	_, _ = w.Write(b)
}

// stream writes the header of response p and what was buffered of its body, which h holds, and
// copies the rest buffer by buffer.
func (o *Responsecopier) stream(w http.ResponseWriter, p *http.Response, b *chunkbuffer.Chunkbuffer, h *memoryhold.Memoryhold) error {
	c := &timedWriter{writer: w, controller: http.NewResponseController(w), timeout: o.WriteTimeout, now: o.Clock.Now}
	writeHeader(w, p.StatusCode, p.Header, p.ContentLength)
	if _, err := b.WriteTo(c); err != nil {
		return errors.Wrap(ErrCaller, err.Error())
	}
	*b = chunkbuffer.Chunkbuffer{}
	h.Release()
	r := make([]byte, streamBufferBytes)
	for {
		n, err := p.Body.Read(r)
		if n > 0 {
			if _, err := c.Write(r[:n]); err != nil {
				return errors.Wrap(ErrCaller, err.Error())
			}
			continue
		}
		if err == io.EOF {
			c.end()
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
