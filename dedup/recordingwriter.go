package dedup

import (
	"bytes"
	"context"
	"net/http"

	"celeryreach.example/celeryreach/record"
)

// recordingWriter passes an answer to the caller and keeps a copy for the
// record. The copy continues after the caller has disconnected.
type recordingWriter struct {
	writer    http.ResponseWriter
	callerCtx context.Context // ends when the caller disconnects
	header    http.Header
	status    int
	body      bytes.Buffer
	tooLarge  bool
}

// Header returns the header that WriteHeader sends.
func (k *recordingWriter) Header() http.Header {
	return k.header
}

// WriteHeader sends the status and header to the caller.
func (k *recordingWriter) WriteHeader(status int) {
	k.status = status
	h := k.writer.Header()
	for n, v := range k.header {
		h[n] = v
	}
	if k.callerCtx.Err() == nil {
		k.writer.WriteHeader(status)
	}
}

// Write sends a part of the body to the caller. An error of the caller's
// connection ends the answer only if the answer is too large to be recorded.
func (k *recordingWriter) Write(b []byte) (int, error) {
	if k.status == 0 {
		k.WriteHeader(http.StatusOK)
	}
	k.tooLarge = k.tooLarge || k.body.Len()+len(b) > maxAnswerBytes
	if k.tooLarge {
		k.body.Reset()
	} else {
		k.body.Write(b)
	}
	if k.callerCtx.Err() != nil {
		return len(b), nil
	}
	if _, err := k.writer.Write(b); err != nil && k.tooLarge {
		return 0, err
	}
	return len(b), nil
}

// Unwrap gives http.ResponseController access to the caller's connection.
func (k *recordingWriter) Unwrap() http.ResponseWriter {
	return k.writer
}

// fillRecord copies the answer into the record.
func (k *recordingWriter) fillRecord(c *record.Record) {
	c.Status = k.status
	if k.tooLarge {
		c.State = record.Large
		return
	}
	c.State = record.Done
	c.Header = k.header.Clone()
	c.Body = bytes.Clone(k.body.Bytes())
}
