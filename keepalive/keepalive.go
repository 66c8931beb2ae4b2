// Package keepalive detects that the other end of a stream has gone silent. A
// device between two hosts can lose the state of a connection, after which
// neither data nor an error arrives. Both ends therefore send keepalive
// messages at intervals.
package keepalive

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Keepalive monitors one stream.
type Keepalive struct {
	// Clock paces the messages.
	Clock clockwork.Clock
	// Interval is the interval between two keepalive messages.
	Interval time.Duration
	// MaxFirstSilence is the longest silence before the first message.
	MaxFirstSilence time.Duration
	// MaxSilence is the longest silence after the first message.
	MaxSilence time.Duration
	// Send sends a keepalive message to the other end.
	Send func() error
	// OnLost is called once when the other end has been silent for too long.
	OnLost func()

	mu           sync.Mutex
	waitingSince time.Time
	received     bool
}

// StartWaiting records that the reader starts waiting for a message. Only the time for
// which the reader waits counts as silence: while the reader is busy, messages may have
// arrived that it has not read yet.
func (p *Keepalive) StartWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingSince = p.Clock.Now()
}

// Received records that a message arrived.
func (p *Keepalive) Received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingSince = time.Time{}
	p.received = true
}

// Run monitors the stream until ctx ends or the stream is lost. A separate
// goroutine sends the messages, because a send on a dead connection may block.
func (p *Keepalive) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	d := make(chan struct{})
	t := p.Clock.NewTicker(p.Interval)
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
		if p.isSilent() {
			p.OnLost()
			<-d
			return
		}
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

func (p *Keepalive) send(ctx context.Context, due <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			// The error is ignored because the reader receives an error of the stream
			// as well.
			_ = p.Send()
		}
	}
}

func (p *Keepalive) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.MaxFirstSilence
	if p.received {
		d = p.MaxSilence
	}
	return !p.waitingSince.IsZero() && p.Clock.Since(p.waitingSince) >= d
}
