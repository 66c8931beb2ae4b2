package serverconn

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// LimitBody limits the wait for the rest of the request's body.
func (c *Serverconn) LimitBody(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != serving || c.bodyTimer != nil {
		return
	}
	var t clockwork.Timer
	t = c.Clock.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.bodyTimer == t {
			_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
		}
	})
	c.bodyTimer = t
}

// endBody removes the limit of LimitBody.
func (c *Serverconn) endBody() {
	if c.bodyTimer == nil {
		return
	}
	if !c.bodyTimer.Stop() {
		_ = c.SetReadDeadline(time.Time{}) // as above
	}
	c.bodyTimer = nil
}
