package fleet

import (
	"context"
	"net"
	"sync"
)

// listener remembers its connections, so that a killed host's callers see them
// break.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *listener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// listen hands out the listener that was bound when the port was drawn. A
// replacement binds the same port again, which the reservation has kept for it.
func (h *site) listen(ctx context.Context, address string) (net.Listener, error) {
	if l := h.listeners[address]; l != nil {
		return l, nil
	}
	n, err := bind(ctx, address)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: n}
	h.listeners[address] = l
	return l, nil
}

func bind(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", address)
}
