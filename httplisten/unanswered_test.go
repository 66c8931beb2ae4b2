package httplisten_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/logbuffer"
)

// Guards against requests that get no response and leave no trace in the log: each line
// names the request and the reason.
func TestUnansweredRequestsAreLogged(t *testing.T) {
	started := make(chan struct{}, 1)
	for reason, handler := range map[string]http.HandlerFunc{
		"Aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"Panic":   func(http.ResponseWriter, *http.Request) { panic("a fault") },
		"Shutdown": func(_ http.ResponseWriter, q *http.Request) {
			started <- struct{}{}
			<-q.Context().Done()
		},
	} {
		t.Run(reason, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			var b logbuffer.Logbuffer
			reasons := make(chan string, 1)
			d := time.Minute
			if reason == "Shutdown" {
				d = 0
			}
			s := &httplisten.Httplisten{
				DrainTimeout: d,
				Listener:     l, Handler: handler, Clock: clockwork.NewRealClock(),
				Log:          log.NewWithOptions(&b, log.Options{Formatter: log.LogfmtFormatter}),
				RequestID:    func(q *http.Request) string { return q.Header.Get("Id") },
				OnUnanswered: func(r string) { reasons <- r },
			}
			x, f := context.WithCancel(context.Background())
			e := make(chan error, 1)
			go func() { e <- s.Run(x) }()
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
			must.NoError(t, err)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nId: r1\r\n\r\n")
			must.NoError(t, err)
			if reason == "Shutdown" {
				<-started
				f()
			}
			must.EqOp(t, reason, <-reasons)
			_ = c.Close()
			f()
			err = <-e
			must.EqOp(t, reason == "Shutdown", err != nil) // a shutdown reports that it cut a request
			must.StrContains(t, b.String(), `connection closed without a response" Request=r1`)
			must.StrContains(t, b.String(), "Reason="+reason)
		})
	}
}
