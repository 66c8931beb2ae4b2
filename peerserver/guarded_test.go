package peerserver_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/wire"
)

func startGuarded(t *testing.T, limit int) (address string, clock *clockwork.FakeClock) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	k := clockwork.NewFakeClock()
	s := &peerserver.Peerserver{
		Listener: l, Clock: k, MaxConnections: limit,
		OnHeartbeat: func(h *wire.Heartbeat) *wire.Heartbeat { return h },
	}
	x, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	t.Cleanup(func() {
		f()
		must.NoError(t, <-e) // all connections have ended
	})
	return l.Addr().String(), k
}

func dialGuarded(t *testing.T, address, send string) net.Conn {
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the host may have closed it
	_, err = io.WriteString(c, send)
	must.NoError(t, err)
	return c
}

func awaitEnd(c net.Conn) {
	_, err := io.ReadAll(c)
	_ = err // a reset if bytes were not read
}

// Guards against connections without calls that stay open, also after their clients have left.
func TestConnectionsWithoutCallsEnd(t *testing.T) {
	a, k := startGuarded(t, 0)
	l := []net.Conn{dialGuarded(t, a, ""), dialGuarded(t, a, "POST / HTTP/1.1\r\n\r\n"+strings.Repeat("b", 100_000))}
	must.NoError(t, k.BlockUntilContext(t.Context(), len(l)))
	k.Advance(5 * time.Second)
	for _, c := range l {
		awaitEnd(c)
	}
}

// Guards against hosts that are not heard because others occupy all connections.
func TestCallsBesideConnectionsWithoutCalls(t *testing.T) {
	a, k := startGuarded(t, 3)
	l := []net.Conn{dialGuarded(t, a, ""), dialGuarded(t, a, ""), dialGuarded(t, a, "")}
	must.NoError(t, k.BlockUntilContext(t.Context(), len(l)))
	k.Advance(time.Second)
	c := &peerclient.Peerclient{Dial: func(ctx context.Context, a string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}}
	defer c.Close()
	for range 2 {
		_, err := c.Beat(t.Context(), a, &wire.Heartbeat{})
		must.NoError(t, err)
	}
}
