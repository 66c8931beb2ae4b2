// Package warmup limits how many slots of a cold backend server are used.
package warmup

import "time"

// Warmup is the cold start of one backend server. A cold one with all its slots
// taken answers everybody slowly, so it starts with one slot.
type Warmup struct {
	// Began is when the backend server appeared or came back; zero for one
	// that is taken to be warm.
	Began time.Time
	// For is how long it takes to reach full speed.
	For time.Duration
}

// Slots returns how many of n slots may be used at a time.
func (w Warmup) Slots(n int, now time.Time) int {
	t := max(0, now.Sub(w.Began))
	if w.Began.IsZero() || t >= w.For || n <= 1 {
		return n
	}
	return 1 + int(float64(n-1)*float64(t)/float64(w.For))
}
