package receive

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/keepalive"
	"celeryreach.example/celeryreach/wire"
)

// body is the body of a forwarded request. A goroutine receives the sender's
// frames even while nothing reads the body, so that a disconnected or silent
// sender is noticed while the request waits for a slot.
type body struct {
	stream    wire.DRPCPeer_ForwardStream
	keepalive *keepalive.Keepalive
	ctx       context.Context //nolint:containedctx // cancels blocked reads
	chunks    chan []byte
	ended     chan error
	once      sync.Once
	buffered  []byte
	err       error
}

// receiveFrames passes on the chunks of the body until the stream ends, and
// then cancels the request. A stream that ends without an end frame is an
// error, so that a truncated body is never treated as complete.
func (b *body) receiveFrames(cancel context.CancelFunc) {
	defer cancel()
	w := false
	for {
		b.keepalive.StartWaiting()
		m, err := b.stream.Recv()
		b.keepalive.Received()
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
			case b.chunks <- m.GetBody():
			case <-b.ctx.Done():
				return
			}
		}
	}
}

// Read returns the next chunk of the body. The first call requests the body
// from the sender, which thereby learns that the request was admitted.
func (b *body) Read(p []byte) (int, error) {
	b.once.Do(func() {
		b.err = b.stream.Send(&wire.Frame{Part: &wire.Frame_BodyWanted{BodyWanted: true}})
	})
	for len(b.buffered) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		select {
		case b.buffered = <-b.chunks:
		case b.err = <-b.ended:
		case <-b.ctx.Done():
			b.err = b.endError()
		}
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

// endError returns the error that ended the stream, if there is one, and otherwise the
// error of the context. The error of the stream takes precedence because it causes the
// cancellation of the context.
func (b *body) endError() error {
	select {
	case err := <-b.ended:
		return err
	default:
		return b.ctx.Err()
	}
}
