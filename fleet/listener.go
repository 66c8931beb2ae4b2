package fleet

import (
	"context"
	"net"
	"sync"
)

// listener tracks its accepted connections, so that killing a host breaks the
// connections of its callers.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept accepts the next connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// listen returns the listener that addHost has already opened on the address.
// After a restart of the host there is no open listener, so listen binds the port
// again, which is still reserved for this host.
func (h *managedHost) listen(ctx context.Context, address string) (net.Listener, error) {
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
