package once

import (
	"bytes"
	"context"
	"net/http"

	"celeryreach.example/celeryreach/record"
)

// keep passes an answer to the caller and keeps a copy of it. A caller that
// has left does not stop the copy.
type keep struct {
	writer http.ResponseWriter
	left   context.Context
	header http.Header
	status int
	body   bytes.Buffer
	large  bool
}

// Header returns the header that WriteHeader sends.
func (k *keep) Header() http.Header {
	return k.header
}

// WriteHeader passes the head of the answer on.
func (k *keep) WriteHeader(status int) {
	k.status = status
	h := k.writer.Header()
	for n, v := range k.header {
		h[n] = v
	}
	if k.left.Err() == nil {
		k.writer.WriteHeader(status)
	}
}

// Write passes a piece of the answer on. The caller's errors end an answer only
// when it is too large to be kept.
func (k *keep) Write(b []byte) (int, error) {
	if k.status == 0 {
		k.WriteHeader(http.StatusOK)
	}
	k.large = k.large || k.body.Len()+len(b) > answerBytes
	if k.large {
		k.body.Reset()
	} else {
		k.body.Write(b)
	}
	if k.left.Err() != nil {
		return len(b), nil
	}
	if _, err := k.writer.Write(b); err != nil && k.large {
		return 0, err
	}
	return len(b), nil
}

// Unwrap lets http.ResponseController reach the caller's connection.
func (k *keep) Unwrap() http.ResponseWriter {
	return k.writer
}

// fill makes the answer part of the record.
func (k *keep) fill(c *record.Record) {
	c.Status = k.status
	if k.large {
		c.State = record.Large
		return
	}
	c.State = record.Done
	c.Header = k.header.Clone()
	c.Body = bytes.Clone(k.body.Bytes())
}
