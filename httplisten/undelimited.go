package httplisten

import (
	"net/http"

	"celeryreach.example/celeryreach/serverconn"
)

// connKey is the key of the Serverconn in the context of a request.
type connKey struct{}

// serveProto serves a request. A response to HTTP/1.0 may have no other end than that of its
// connection, so the connection is reset if the response is not complete.
func (l *Httplisten) serveProto(g *connections, w http.ResponseWriter, q *http.Request) {
	if q.ProtoAtLeast(1, 1) {
		l.serve(g, w, q)
		return
	}
	c := q.Context().Value(connKey{}).(*serverconn.Serverconn)
	c.SetResets(true)
	defer c.Reset()
	l.serve(g, w, q)
	c.SetResets(false)
}
