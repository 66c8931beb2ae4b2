package edge

import (
	"net/http"

	"celeryreach.example/celeryreach/backend"
)

// observeLeaving processes a response of a backend server that may state that it leaves.
func (e *Edge) observeLeaving(b backend.Backend, h http.Header) {
	if e.SaysLeaving(h) {
		e.discovery.MarkLeaving(b.Name, b.Started)
	}
}
