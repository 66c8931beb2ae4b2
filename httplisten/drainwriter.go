package httplisten

import (
	"net/http"

	"celeryreach.example/celeryreach/serverconn"
)

// drainWriter tells the caller in the response that the connection ends, if the listener is
// draining, or is about to, when the response begins. Otherwise the caller could send its next
// request on a connection that is about to be closed.
type drainWriter struct {
	http.ResponseWriter
	isEnding func() bool
	conn     *serverconn.Serverconn
	body     *trackedBody // nil if the request has none

	fullDuplex bool
}

// WriteHeader writes the header of the response.
func (w *drainWriter) WriteHeader(status int) {
	w.announceEnd()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header.
func (w *drainWriter) Write(b []byte) (int, error) {
	w.announceEnd()
	return w.ResponseWriter.Write(b)
}

// FlushError writes the header and all that was written before.
func (w *drainWriter) FlushError() error {
	w.announceEnd()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// EnableFullDuplex lets the handler read the body beside the response; net/http doesn't discard it.
func (w *drainWriter) EnableFullDuplex() error {
	w.fullDuplex = true
	return http.NewResponseController(w.ResponseWriter).EnableFullDuplex()
}

// hasUnread reports whether a part of the body was not read.
func (w *drainWriter) hasUnread() bool {
	return w.body != nil && !w.body.ended.Load()
}

// endBody limits the time for which net/http waits for a body that the handler has not read, before
// it sends the response or, with full duplex, after it.
func (w *drainWriter) endBody() {
	if w.hasUnread() {
		w.conn.LimitBody(discardTimeout)
	}
}

// announceEnd has no effect once the header was written.
func (w *drainWriter) announceEnd() {
	if !w.fullDuplex {
		w.endBody()
	}
	// With full duplex, net/http would take what follows a body that failed for the next request.
	if w.isEnding() || w.fullDuplex && w.hasUnread() {
		w.Header().Set("Connection", "close")
	}
}
