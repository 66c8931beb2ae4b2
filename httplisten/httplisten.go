// Package httplisten runs an HTTP server as a supervised part of a host.
package httplisten

import (
	"context"
	"net"
	"net/http"
	"time"

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
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
}

// Run serves until ctx ends and the last request has finished.
func (l *Httplisten) Run(ctx context.Context) error {
	s := &http.Server{Handler: l.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, IdleTimeout: idleTimeout}
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
