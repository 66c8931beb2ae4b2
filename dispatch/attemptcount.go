package dispatch

import "sync"

// attemptCount counts the attempts that a request has left. One that runs is taken until it
// has ended, so that several that run at the same time never exceed the limit.
type attemptCount struct {
	mu   sync.Mutex
	left int
}

// take takes an attempt if one is left.
func (c *attemptCount) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left <= 0 {
		return false
	}
	c.left--
	return true
}

// takeAll takes all attempts that are left and returns how many.
func (c *attemptCount) takeAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := max(0, c.left)
	c.left -= n
	return n
}

// giveBack returns n attempts that were taken and not used. A negative n takes attempts that
// were used beyond those taken.
func (c *attemptCount) giveBack(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left += n
}
