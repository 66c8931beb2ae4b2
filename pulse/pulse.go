// Package pulse finds out that the other end of a stream has gone silent.
// Something between two hosts can lose track of a connection: nothing arrives,
// and no error either. Both ends therefore say at intervals that they are there.
package pulse

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pulse watches one stream.
type Pulse struct {
	// Clock paces the messages.
	Clock clockwork.Clock
	// Every is the time between two messages.
	Every time.Duration
	// First is the longest silence before the first message.
	First time.Duration
	// Silence is the longest silence afterwards.
	Silence time.Duration
	// Send tells the other end that this one is there.
	Send func() error
	// Lost is called once when the other end was silent for too long.
	Lost func()

	mu      sync.Mutex
	waiting time.Time
	heard   bool
}

// Wait notes that the reader waits for a message. Only this time counts: while
// the reader is busy, messages may well have arrived.
func (p *Pulse) Wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = p.Clock.Now()
}

// Got notes that a message arrived.
func (p *Pulse) Got() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = time.Time{}
	p.heard = true
}

// Run watches until ctx ends. Its messages are sent by a goroutine of its own,
// since a send on a dead connection may block.
func (p *Pulse) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	d := make(chan struct{})
	t := p.Clock.NewTicker(p.Every)
	defer t.Stop()
	s := make(chan struct{}, 1)
	go p.send(ctx, s, d)
	for {
		select {
		case <-ctx.Done():
			<-d
			return
		case <-t.Chan():
		}
		if p.silent() {
			p.Lost()
			<-d
			return
		}
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

func (p *Pulse) send(ctx context.Context, due <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			// An error shows at the reader as well.
			_ = p.Send()
		}
	}
}

func (p *Pulse) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.First
	if p.heard {
		d = p.Silence
	}
	return !p.waiting.IsZero() && p.Clock.Since(p.waiting) >= d
}
