// Package httplisten runs an HTTP server as a supervised part of a host.
package httplisten

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const (
	// Slow headers hold nothing but a connection, and that not for long.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	// A kept connection without a request is closed, so that connections that
	// went silent do not add up.
	idleTimeout = 2 * time.Minute
)

// Httplisten serves one handler on one listener and lets requests in flight
// finish when it ends.
type Httplisten struct {
	// Listener accepts connections. Run closes it.
	Listener net.Listener
	// Handler serves the requests.
	Handler http.Handler
	// Leave, if set, runs after ctx has ended and before the listener closes.
	Leave func(ctx context.Context)
	// Limits, if set, returns how long a caller may take for the header of the first
	// request on a connection, and how long until that of a next one is complete;
	// zero means 5 s and 2 min. It is asked anew for each wait, by Clock.
	Limits func() (header, idle time.Duration)
	// Clock times what Limits says.
	Clock clockwork.Clock
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
}

// Run serves until ctx ends and the last request has finished.
func (l *Httplisten) Run(ctx context.Context) error {
	s := &http.Server{Handler: l.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, IdleTimeout: idleTimeout}
	if l.Limits != nil {
		g := &guards{clock: l.Clock, limits: l.Limits, conns: make(map[net.Conn]*guard)}
		s.ConnState = g.changed
		// The guards take the place of the server's own timeouts, which could be
		// shorter than what an operator allows.
		s.ReadHeaderTimeout, s.IdleTimeout = 0, 0
	}
	e := make(chan error, 1)
	go func() { e <- s.Serve(l.Listener) }()
	select {
	case err := <-e:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if l.Leave != nil {
		l.Leave(context.WithoutCancel(ctx))
	}
	x, f := context.WithTimeout(context.WithoutCancel(ctx), l.DrainTimeout)
	defer f()
	err := s.Shutdown(x)
	if err != nil {
		_ = s.Close()
	}
	<-e //nolint:errcheck // always ErrServerClosed after Shutdown
	return errors.Wrap(err, "drain")
}
