package httplisten

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/serverconn"
)

// Reasons why this host closed a connection before its request had a complete response.
const (
	// reasonHeader is a header that was not complete in time.
	reasonHeader = "Header"
	// reasonConnections is a connection that was closed at once because MaxConnections were open.
	reasonConnections = "Connections"
	// reasonShutdown is the end of DrainTimeout.
	reasonShutdown = "Shutdown"
	// reasonAborted is a response that was truncated after its header.
	reasonAborted = "Aborted"
	// reasonPanic is a panic of the handler.
	reasonPanic = "Panic"
)

// serve runs the handler and reports the request if this host closes its connection
// before the response is complete.
func (l *Httplisten) serve(g *connections, w http.ResponseWriter, q *http.Request) {
	defer l.handlers.Begin()()
	q, b := trackBody(q)
	c := &drainWriter{
		ResponseWriter: w, isEnding: func() bool { return l.IsLeaving != nil && l.IsLeaving() || g.isDraining() },
		conn: q.Context().Value(connKey{}).(*serverconn.Serverconn), body: b,
	}
	defer func() {
		v := recover()
		err, _ := v.(error)
		switch {
		case v == nil:
			if l.closed.Load() {
				l.reportUnanswered(q, reasonShutdown)
			}
			return
		case errors.Is(err, http.ErrAbortHandler) && q.Context().Err() != nil: // the caller left
		case errors.Is(err, http.ErrAbortHandler):
			l.reportUnanswered(q, reasonAborted)
		default:
			l.reportUnanswered(q, reasonPanic, "Error", fmt.Sprint(v), "Stack", string(debug.Stack()))
			if l.Log == nil {
				panic(v) // net/http prints it
			}
		}
		panic(http.ErrAbortHandler)
	}()
	l.Handler.ServeHTTP(c, q)
	c.announceEnd()
	c.endBody()
}

// reportUnanswered logs and counts a request without a complete response.
func (l *Httplisten) reportUnanswered(q *http.Request, reason string, fields ...any) {
	if l.Log != nil {
		id := ""
		if l.RequestID != nil {
			id = l.RequestID(q)
		}
		l.Log.Error("connection closed without a response", append([]any{"Request", id, "Caller", q.RemoteAddr, "Reason", reason}, fields...)...)
	}
	l.countUnanswered(reason)
}

func (l *Httplisten) countUnanswered(reason string) {
	if l.OnUnanswered != nil {
		l.OnUnanswered(reason)
	}
}
