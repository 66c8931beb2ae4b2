package peerserver_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/wire"
)

// failingListener fails its first Accept.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOMEM)}
	}
	return l.Listener.Accept()
}

// Guards against a host that other hosts never reach again after an error of Accept.
func TestAcceptFails(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &peerserver.Peerserver{
		Listener:    &failingListener{Listener: l},
		OnHeartbeat: func(h *wire.Heartbeat) *wire.Heartbeat { return h },
	}
	x, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	c := &peerclient.Peerclient{Dial: func(ctx context.Context, a string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}}
	_, err = c.Beat(t.Context(), l.Addr().String(), &wire.Heartbeat{})
	must.NoError(t, err)
	c.Close()
	f()
	must.NoError(t, <-e)
}
