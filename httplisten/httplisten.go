// Package httplisten runs an HTTP server as a supervised component of a host.
package httplisten

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptor"
	"celeryreach.example/celeryreach/inflight"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/serverconn"
	"celeryreach.example/celeryreach/stalled"
)

const (
	// A client that sends its header slowly occupies only a connection, so a few
	// seconds are acceptable.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// Idle connections are closed so that connections that have gone silent do not
	// accumulate.
	idleTimeout = 2 * time.Minute
	// handlerEndTimeout bounds the wait for handlers whose connections were closed.
	handlerEndTimeout = 100 * time.Millisecond
	// discardTimeout bounds the wait for the rest of a body that the handler has not read:
	// net/http discards it before it sends the response.
	discardTimeout = 500 * time.Millisecond
)

// Httplisten serves one handler on one listener. When it ends, requests in flight can
// finish.
type Httplisten struct {
	// Listener accepts connections. Run closes it.
	Listener net.Listener
	// TLS is the TLS configuration of the connections; nil means none. Listener accepts
	// them without TLS.
	TLS *tls.Config
	// Handler serves the requests.
	Handler http.Handler
	// BeforeShutdown, if set, runs after ctx has ended and before the listener is
	// closed.
	BeforeShutdown func(ctx context.Context)
	// IsLeaving, if set, reports whether the listener will end soon: each response that begins
	// from then on tells the caller that the connection ends.
	IsLeaving func() bool
	// Limits, if set, returns two time limits. header is the limit for a header, which
	// begins with the connection or, on a connection with earlier requests, with the first
	// byte; zero means 5 s. idle is the limit from one answer to the first byte of the next
	// request; zero means 2 min. A longer limit applies to connections that wait already, a
	// shorter one from their next wait on.
	Limits func() (header, idle time.Duration)
	// Clock measures the waits that Limits bounds; nil means the real clock.
	Clock clockwork.Clock
	// MaxConnections is the largest number of open connections; zero means no limit. Before it is
	// reached, connections that wait for a request end in favor of new ones.
	MaxConnections int
	// Stalled holds the waits for clients of this listener that end, too, in favor of new
	// connections; nil holds none.
	Stalled *stalled.Stalled
	// Memory is where the memory for long headers comes from; nil has no limit.
	Memory *memorybudget.Memorybudget
	// DrainTimeout limits the wait for requests in flight.
	DrainTimeout time.Duration
	// StopBy, if set, returns the time by which this wait ends even if DrainTimeout is
	// longer. It is called after ctx has ended.
	StopBy func() time.Time
	// Log receives one line for each request that reached the handler and whose connection
	// this host closes before the response is complete, and the errors of net/http. Nil
	// logs nothing, and net/http prints its errors itself.
	Log *log.Logger
	// RequestID returns the id of a request for the log; nil logs none.
	RequestID func(q *http.Request) string
	// OnUnanswered, if set, is called with the reason for each such request, and for each
	// header that was not complete in time.
	OnUnanswered func(reason string)

	closed   atomic.Bool       // connections with requests in flight were closed
	handlers inflight.Inflight // calls of Handler
}

// Run serves until ctx ends and the last request has finished.
func (l *Httplisten) Run(ctx context.Context) error {
	g := newConnections(func() { l.countUnanswered(reasonHeader) })
	g.limit, g.now, g.stalled = l.MaxConnections, l.clock().Now, l.Stalled
	s := l.server(g)
	e := make(chan error, 1)
	go func() { e <- s.Serve(l.listener(g)) }()
	select {
	case err := <-e:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if l.BeforeShutdown != nil {
		l.BeforeShutdown(context.WithoutCancel(ctx))
	}
	_ = l.Listener.Close()
	<-e //nolint:errcheck // always that of a closed listener
	x, f := context.WithTimeout(context.WithoutCancel(ctx), l.drainTime())
	defer f()
	return l.logDrain(l.drain(x, s, g))
}

// logDrain logs the result of a drain, which the supervisor of a host that ends does not.
func (l *Httplisten) logDrain(err error) error {
	if err != nil && l.Log != nil {
		l.Log.Error("requests cut by the shutdown", "Address", l.Listener.Addr(), "Error", err)
	}
	return err
}

// drainTime returns how long the wait for requests in flight may take now.
func (l *Httplisten) drainTime() time.Duration {
	if l.StopBy == nil {
		return l.DrainTimeout
	}
	return min(l.DrainTimeout, l.clock().Until(l.StopBy()))
}

func (l *Httplisten) clock() clockwork.Clock {
	if l.Clock == nil {
		return clockwork.NewRealClock()
	}
	return l.Clock
}

func (l *Httplisten) server(g *connections) *http.Server {
	s := &http.Server{
		MaxHeaderBytes: maxHeaderBytes,
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { l.serveProto(g, w, q) }),
		ConnState:      func(c net.Conn, v http.ConnState) { g.setState(serverConn(c), v) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, serverConn(c))
		},
	}
	if l.Log != nil {
		s.ErrorLog = l.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	}
	return s
}

// drain waits until the connections have ended, at most until ctx ends, and closes those
// that are left. Server.Shutdown is not used: it closes a connection whose request has
// been read but not yet handled.
func (l *Httplisten) drain(ctx context.Context, s *http.Server, g *connections) error {
	select {
	case <-g.drain():
	case <-ctx.Done():
	}
	n := g.busy()
	l.closed.Store(true)
	g.reset()
	_ = s.Close()
	l.awaitHandlers(ctx)
	if n > 0 {
		return errors.Errorf("drain: %d requests cut", n)
	}
	return nil
}

// awaitHandlers waits until the handlers of the closed connections have returned, since their
// log lines would be lost with the process.
func (l *Httplisten) awaitHandlers(ctx context.Context) {
	x, f := context.WithTimeout(context.WithoutCancel(ctx), handlerEndTimeout)
	defer f()
	if n := l.handlers.Wait(x); n > 0 && l.Log != nil {
		l.Log.Error("handlers still run after their connections were closed", "Address", l.Listener.Addr(), "Handlers", n)
	}
}

// listener returns Listener with connections that have the limits, and TLS above them.
func (l *Httplisten) listener(g *connections) net.Listener {
	n := &connListener{
		Listener: &acceptor.Acceptor{Listener: l.Listener}, connections: g, wrap: l.wrap,
		onRefused: func() { l.countUnanswered(reasonConnections) },
	}
	if l.TLS == nil {
		return n
	}
	return tls.NewListener(n, l.TLS)
}

// serverConn returns the connection to a caller, without TLS.
func serverConn(c net.Conn) *serverconn.Serverconn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return c.(*serverconn.Serverconn)
}

// wrap returns c with the limits of this listener.
func (l *Httplisten) wrap(c net.Conn) net.Conn {
	return &serverconn.Serverconn{Conn: c, Clock: l.clock(), Limits: l.limits, BeginsWithHandshake: l.TLS != nil, Memory: l.Memory}
}

func (l *Httplisten) limits() (header, idle time.Duration) {
	if l.Limits != nil {
		header, idle = l.Limits()
	}
	return cmp.Or(header, headerTimeout), cmp.Or(idle, idleTimeout)
}
