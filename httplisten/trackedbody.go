package httplisten

import (
	"io"
	"net/http"
	"sync/atomic"
)

// trackedBody records whether the handler has read a body to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// trackBody returns a copy of a request whose body is tracked. net/http looks at the type of the
// original one.
func trackBody(q *http.Request) (*http.Request, *trackedBody) {
	if q.Body == nil || q.Body == http.NoBody {
		return q, nil
	}
	b := &trackedBody{ReadCloser: q.Body}
	c := *q
	c.Body = b
	return &c, b
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}
