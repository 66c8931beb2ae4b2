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
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
)

// Httplisten serves one handler on one listener and lets requests in flight
// finish when it ends.
type Httplisten struct {
	// Listener accepts connections. Run closes it.
	Listener net.Listener
	// Handler serves the requests.
	Handler http.Handler
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
}

// Run serves until ctx ends and the last request has finished.
func (l *Httplisten) Run(ctx context.Context) error {
	s := &http.Server{Handler: l.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes}
	e := make(chan error, 1)
	go func() { e <- s.Serve(l.Listener) }()
	select {
	case err := <-e:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
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
