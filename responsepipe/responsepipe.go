// Package responsepipe turns a response that is written into one that is read.
package responsepipe

import (
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Responsepipe is an http.ResponseWriter whose response can be read while it is written.
type Responsepipe struct {
	header    http.Header
	method    string
	reader    *io.PipeReader
	writer    *io.PipeWriter
	once      sync.Once
	responses chan *http.Response
}

// New returns a Responsepipe for the response to a request of the given method.
func New(method string) *Responsepipe {
	r, w := io.Pipe()
	return &Responsepipe{header: make(http.Header), method: method, reader: r, writer: w, responses: make(chan *http.Response, 1)}
}

// Header returns the header that WriteHeader passes on.
func (p *Responsepipe) Header() http.Header {
	return p.header
}

// WriteHeader passes the status and the header to the reader.
func (p *Responsepipe) WriteHeader(status int) {
	if status < http.StatusOK {
		return
	}
	p.once.Do(func() {
		n, err := strconv.ParseInt(p.header.Get("Content-Length"), 10, 64)
		if err != nil || n < 0 {
			n = -1
		}
		p.responses <- &http.Response{
			StatusCode: status, Header: p.header.Clone(), ContentLength: n, Body: p.reader, Request: &http.Request{Method: p.method},
		}
	})
}

// Write writes a part of the body.
func (p *Responsepipe) Write(b []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	return p.writer.Write(b)
}

// Response returns the channel on which the response arrives once its header is written.
func (p *Responsepipe) Response() <-chan *http.Response {
	return p.responses
}

// Close ends the body, with an error if it is not complete.
func (p *Responsepipe) Close(err error) {
	_ = p.writer.CloseWithError(err) // always nil
}
