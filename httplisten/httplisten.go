// Package httplisten runs an HTTP server as a supervised component of a host.
package httplisten

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const (
	// A client that sends its header slowly occupies only a connection, so a few
	// seconds are acceptable.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// Idle connections are closed so that connections that have gone silent do not
	// accumulate.
	idleTimeout = 2 * time.Minute
)

// Httplisten serves one handler on one listener. When it ends, requests in flight can
// finish.
type Httplisten struct {
	// Listener accepts connections. Run closes it.
	Listener net.Listener
	// Handler serves the requests.
	Handler http.Handler
	// BeforeShutdown, if set, runs after ctx has ended and before the listener is
	// closed.
	BeforeShutdown func(ctx context.Context)
	// Limits, if set, returns two time limits. header is the limit for the header of
	// the first request on a connection; zero means 5 s. idle is the limit from one
	// answer to the end of the next request's header; zero means 2 min. Limits is
	// called again for each wait, so that changes apply to open connections.
	Limits func() (header, idle time.Duration)
	// Clock measures the waits that Limits bounds.
	Clock clockwork.Clock
	// DrainTimeout limits the wait for requests in flight.
	DrainTimeout time.Duration
	// Log receives one line for each request whose connection this host closes before the
	// response is complete, and the errors of net/http; nil discards them.
	Log *log.Logger
	// RequestID returns the id of a request for the log; nil logs none.
	RequestID func(q *http.Request) string
	// OnUnanswered, if set, is called with the reason for each such request.
	OnUnanswered func(reason string)

	closed atomic.Bool // connections with requests in flight were closed
}

// Run serves until ctx ends and the last request has finished.
func (l *Httplisten) Run(ctx context.Context) error {
	s := &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	if l.Log != nil {
		s.ErrorLog = l.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	}
	var g *connTimeouts
	if l.Limits != nil {
		g = &connTimeouts{clock: l.Clock, limits: l.Limits, conns: make(map[net.Conn]*connTimeout)}
		s.ConnState = g.stateChanged
		// connTimeouts replaces the server's own timeouts, which could be shorter than
		// the limits of an operator.
		s.ReadHeaderTimeout, s.IdleTimeout = 0, 0
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, closeReasonKey{}, func() string { return l.closeReason(g, c) })
	}
	e := make(chan error, 1)
	go func() { e <- s.Serve(l.Listener) }()
	select {
	case err := <-e:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if l.BeforeShutdown != nil {
		l.BeforeShutdown(context.WithoutCancel(ctx))
	}
	x, f := context.WithTimeout(context.WithoutCancel(ctx), l.DrainTimeout)
	defer f()
	err := s.Shutdown(x)
	if err != nil {
		l.closed.Store(true)
		_ = s.Close()
	}
	<-e //nolint:errcheck // always ErrServerClosed after Shutdown
	return errors.Wrap(err, "drain")
}

// closeReason returns why this host closed c, empty if it did not.
func (l *Httplisten) closeReason(g *connTimeouts, c net.Conn) string {
	switch {
	case g != nil && g.hasExpired(c):
		return reasonTimeout
	case l.closed.Load():
		return reasonShutdown
	}
	return ""
}
