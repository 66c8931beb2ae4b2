package serverconn

import "time"

const (
	// A client reads at least writePieceBytes, or the rest of a response, in each writeTime.
	writePieceBytes = 32 << 10
	writeTime       = 10 * time.Second
	// maxSmallWriteBytes are written from net/http's own buffer, which is not given back sooner
	// when the client is no longer waited for.
	maxSmallWriteBytes = 4 << 10
)

// Write writes p for as long as the client makes progress in reading it.
func (c *Serverconn) Write(p []byte) (int, error) {
	n := 0
	for {
		m, err := c.writePiece(p[n:min(len(p), n+writePieceBytes)])
		n += m
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

func (c *Serverconn) writePiece(p []byte) (int, error) {
	f := func() { _ = c.SetWriteDeadline(longAgo) } // fails only on a closed connection
	defer c.Clock.AfterFunc(writeTime, f).Stop()
	if c.Memory != nil && len(p) > maxSmallWriteBytes {
		defer c.Memory.Stalled.Add(c.Clock.Now(), f)()
	}
	return c.Conn.Write(p)
}
