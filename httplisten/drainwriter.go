package httplisten

import "net/http"

// drainWriter tells the caller in the response that the connection ends, if the listener is
// draining, or is about to, when the response begins. Otherwise the caller could send its next
// request on a connection that is about to be closed.
type drainWriter struct {
	http.ResponseWriter
	isEnding func() bool
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

// announceEnd has no effect once the header was written.
func (w *drainWriter) announceEnd() {
	if w.isEnding() {
		w.Header().Set("Connection", "close")
	}
}
