// Package inflight counts the requests that a host has begun and not ended.
package inflight

import (
	"context"
	"sync"
)

// Inflight is the count that a graceful shutdown waits for.
type Inflight struct {
	mu    sync.Mutex
	count int
	zero  chan struct{}
}

// Begin counts a request in. The returned function counts it out, once.
func (i *Inflight) Begin() func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	return i.end
}

// Wait waits until there are none or ctx ends, and returns how many are left.
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
