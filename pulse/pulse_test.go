package pulse

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// A caller waits on a stream that went silent. The other end is given up after
// the stated time: shorter before the first message, counted anew by each one,
// and not counted while the reader itself is busy.
func TestSilence(t *testing.T) {
	c := clockwork.NewFakeClock()
	p := &Pulse{Clock: c, First: time.Second, Silence: 3 * time.Second}
	p.Wait()
	c.Advance(999 * time.Millisecond)
	must.False(t, p.silent())
	c.Advance(time.Millisecond)
	must.True(t, p.silent())
	p.Got()
	must.False(t, p.silent())
	c.Advance(time.Hour)
	must.False(t, p.silent())
	p.Wait()
	c.Advance(2999 * time.Millisecond)
	must.False(t, p.silent())
	c.Advance(time.Millisecond)
	must.True(t, p.silent())
}

// The connection is so dead that a message on it blocks. That must not keep the
// watch from ending the stream, which ends the message too.
func TestBlockedSend(t *testing.T) {
	c := clockwork.NewFakeClock()
	x, f := context.WithCancel(t.Context())
	sending := make(chan struct{}, 1)
	p := &Pulse{
		Clock: c, Every: time.Second, First: 2 * time.Second, Silence: 2 * time.Second, Lost: f,
		Send: func() error {
			sending <- struct{}{}
			<-x.Done()
			return x.Err()
		},
	}
	p.Wait()
	d := make(chan struct{})
	go p.Run(x, d)
	must.NoError(t, c.BlockUntilContext(t.Context(), 1))
	c.Advance(time.Second)
	<-sending
	c.Advance(time.Second)
	<-d
	must.Error(t, x.Err())
}
