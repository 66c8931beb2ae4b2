package receive

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/pulse"
	"celeryreach.example/celeryreach/wire"
)

// body is the body of a forwarded request. A goroutine takes the sender's
// frames, whoever reads, so that a sender that leaves or falls silent is noticed
// while the request waits for a slot.
type body struct {
	stream wire.DRPCPeer_ForwardStream
	pulse  *pulse.Pulse
	ctx    context.Context //nolint:containedctx // ends waiting readers
	pieces chan []byte
	ended  chan error
	once   sync.Once
	rest   []byte
	err    error
}

// read passes the pieces on until the body or the stream has ended, and cancels
// the request when the stream has. A stream that ends without its end frame is
// an error, so that a cut body is never taken for a whole one.
func (b *body) read(cancel context.CancelFunc) {
	defer cancel()
	w := false
	for {
		b.pulse.Wait()
		m, err := b.stream.Recv()
		b.pulse.Got()
		switch {
		case err != nil && !w && errors.Is(err, io.EOF):
			b.ended <- io.ErrUnexpectedEOF
			return
		case err != nil && !w:
			b.ended <- err
			return
		case err != nil:
			return
		case m.GetEnd() && !w:
			w = true
			b.ended <- io.EOF
		case len(m.GetBody()) > 0 && !w:
			select {
			case b.pieces <- m.GetBody():
			case <-b.ctx.Done():
				return
			}
		}
	}
}

// Read returns the next piece of the body. The first call asks for it, which
// tells the sender that the request was admitted.
func (b *body) Read(p []byte) (int, error) {
	b.once.Do(func() {
		b.err = b.stream.Send(&wire.Frame{Part: &wire.Frame_BodyWanted{BodyWanted: true}})
	})
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		select {
		case b.rest = <-b.pieces:
		case b.err = <-b.ended:
		case <-b.ctx.Done():
			b.err = b.cause()
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// cause prefers the reader's own error to the cancel that follows it.
func (b *body) cause() error {
	select {
	case err := <-b.ended:
		return err
	default:
		return b.ctx.Err()
	}
}
