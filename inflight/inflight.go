// Package inflight counts the requests that a host has started and not
// finished.
package inflight

import (
	"context"
	"sync"
)

// Inflight counts requests in flight. A graceful shutdown waits until the count
// is zero.
type Inflight struct {
	mu    sync.Mutex
	count int
	zero  chan struct{}
}

// Begin counts a started request. The returned function must be called once
// when the request ends.
func (i *Inflight) Begin() func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	return i.end
}

// Count returns how many requests are in flight.
func (i *Inflight) Count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.count
}

// Wait waits until no requests are in flight or ctx ends, and returns how many
// are left.
func (i *Inflight) Wait(ctx context.Context) int {
	for {
		i.mu.Lock()
		n := i.count
		if i.zero == nil {
			i.zero = make(chan struct{})
		}
		z := i.zero
		i.mu.Unlock()
		if n == 0 || ctx.Err() != nil {
			return n
		}
		select {
		case <-z:
		case <-ctx.Done():
		}
	}
}

func (i *Inflight) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.count == 0 && i.zero != nil {
		close(i.zero)
		i.zero = nil
	}
}
