package peerserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/memoryhold"
)

const (
	// minWait is how long a connection waits for its first call before it can be closed for another
	// one.
	minWait = 500 * time.Millisecond
	// minIdle is how long a connection waits for another call before it can be closed for one from
	// another host. Other hosts send heartbeats far more often.
	minIdle = 30 * time.Second
)

// guardedListener bounds the number of open connections.
type guardedListener struct {
	net.Listener
	clock  clockwork.Clock
	memory *memorybudget.Memorybudget
	limit  int // zero means none

	mu   sync.Mutex
	open map[*guardedConn]struct{}
}

// accept returns the next connection for which there is room.
func (l *guardedListener) accept(ctx context.Context) (*guardedConn, error) {
	for {
		n, err := l.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom() {
			_ = n.Close() // nothing was read
			continue
		}
		c := &guardedConn{Conn: n, clock: l.clock, memory: memoryhold.Memoryhold{Budget: l.memory}, onClose: l.remove}
		c.ctx, c.cancel = context.WithCancel(ctx)
		l.mu.Lock()
		l.open[c] = struct{}{}
		l.mu.Unlock()
		c.await(callTimeout)
		return c, nil
	}
}

// makeRoom reports whether one more connection may be open. If none may, it closes the one that
// waits longest for its first call or else for another one.
func (l *guardedListener) makeRoom() bool {
	l.mu.Lock()
	f := l.limit == 0 || len(l.open) < l.limit
	var v *guardedConn
	if !f {
		v = l.leastNeeded()
	}
	l.mu.Unlock()
	if v != nil {
		_ = v.Close() // ends the waits in drpc
	}
	return f || v != nil
}

// leastNeeded returns the connection that waits longest, nil if none does. Those without a call go
// first: other hosts call at once.
func (l *guardedListener) leastNeeded() *guardedConn {
	var first, idle *guardedConn
	var firstSince, idleSince time.Time
	for c := range l.open {
		s, k, ok := c.waitsSince()
		switch {
		case ok && !k && (first == nil || s.Before(firstSince)):
			first, firstSince = c, s
		case ok && k && (idle == nil || s.Before(idleSince)):
			idle, idleSince = c, s
		}
	}
	switch {
	case first != nil && l.clock.Since(firstSince) >= minWait:
		return first
	case idle != nil && l.clock.Since(idleSince) >= minIdle:
		return idle
	}
	return nil
}

func (l *guardedListener) remove(c *guardedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
