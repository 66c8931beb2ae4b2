package keepalive

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// A stream goes silent while a caller waits on it. The other end must count as lost
// after MaxFirstSilence, or after MaxSilence once a message was received. Each message
// restarts the period of silence, and the period does not run while the reader is busy.
func TestSilence(t *testing.T) {
	c := clockwork.NewFakeClock()
	p := &Keepalive{Clock: c, MaxFirstSilence: time.Second, MaxSilence: 3 * time.Second}
	p.StartWaiting()
	c.Advance(999 * time.Millisecond)
	must.False(t, p.isSilent())
	c.Advance(time.Millisecond)
	must.True(t, p.isSilent())
	p.Received()
	must.False(t, p.isSilent())
	c.Advance(time.Hour)
	must.False(t, p.isSilent())
	p.StartWaiting()
	c.Advance(2999 * time.Millisecond)
	must.False(t, p.isSilent())
	c.Advance(time.Millisecond)
	must.True(t, p.isSilent())
}

// A send blocks because the connection is dead. The monitor must still cancel
// the stream, which also ends the send.
func TestBlockedSend(t *testing.T) {
	c := clockwork.NewFakeClock()
	x, f := context.WithCancel(t.Context())
	sending := make(chan struct{}, 1)
	p := &Keepalive{
		Clock: c, Interval: time.Second, MaxFirstSilence: 2 * time.Second, MaxSilence: 2 * time.Second, OnLost: f,
		Send: func() error {
			sending <- struct{}{}
			<-x.Done()
			return x.Err()
		},
	}
	p.StartWaiting()
	d := make(chan struct{})
	go p.Run(x, d)
	must.NoError(t, c.BlockUntilContext(t.Context(), 1))
	c.Advance(time.Second)
	<-sending
	c.Advance(time.Second)
	<-d
	must.Error(t, x.Err())
}
