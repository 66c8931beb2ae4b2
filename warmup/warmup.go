// Package warmup limits the number of slots in use on a cold backend server.
package warmup

import "time"

// Warmup describes the cold start of one backend server. With all its slots taken, a cold
// backend server answers every request slowly, so it starts with one slot.
type Warmup struct {
	// StartedAt is when the backend server appeared or came back; zero if it is
	// assumed to be warm.
	StartedAt time.Time
	// Duration is how long the backend server takes to reach full speed.
	Duration time.Duration
}

// Slots returns how many of n slots may be used at time now. The number grows linearly
// from one to n.
func (w Warmup) Slots(n int, now time.Time) int {
	t := max(0, now.Sub(w.StartedAt))
	if w.StartedAt.IsZero() || t >= w.Duration || n <= 1 {
		return n
	}
	return 1 + int(float64(n-1)*float64(t)/float64(w.Duration))
}
