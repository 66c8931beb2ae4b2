package responsecopier

import (
	"net/http"
	"time"
)

// timedWriter limits the time that the caller takes to read each buffer. Not every writer supports
// deadlines; the writer for a stream between hosts does not.
type timedWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	now        func() time.Time
}

// Write writes one buffer.
func (t *timedWriter) Write(b []byte) (int, error) {
	_ = t.controller.SetWriteDeadline(t.now().Add(t.timeout))
	return t.writer.Write(b)
}

// end removes the limit.
func (t *timedWriter) end() {
	_ = t.controller.SetWriteDeadline(time.Time{})
}
