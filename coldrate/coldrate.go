// Package coldrate divides the request rate that a cold backend server can handle
// between the hosts that may send to it.
package coldrate

import (
	"slices"
	"sort"
	"time"

	"celeryreach.example/celeryreach/rendezvous"
)

const (
	// rateWindow is slightly longer than the second over which a backend server counts
	// requests, since requests of one host arrive with different delays.
	rateWindow = 1100 * time.Millisecond
	// safetyFactor is the fraction of the bound that is divided between the hosts, which may
	// disagree on their number for a moment.
	safetyFactor = 0.85
)

// Coldrate computes how many requests per second this host may send to a cold backend
// server. A backend server that restarts cold crashes again under full load. No host can
// count the requests of all hosts in time, so each host has a fixed part of the
// rate.
type Coldrate struct {
	// Self is the name of this host.
	Self string
	// Hosts returns the names of all hosts that have a part of the rate.
	Hosts func() []string
	// Overage and Slack define the bound for a rate: rate x Overage + Slack requests
	// in any second.
	Overage, Slack float64
}

// Share returns how many requests this host may send in any second to a cold backend
// server that can handle rate requests per second.
func (c *Coldrate) Share(backend string, rate float64) int {
	t := int((rate*c.Overage + c.Slack) * safetyFactor)
	h := c.Hosts()
	if !slices.Contains(h, c.Self) {
		return 0
	}
	n := t / len(h)
	// The remainder goes to the first hosts in an order that differs for each backend
	// server.
	if rendezvous.Rank(backend, c.Self, h) < t%len(h) {
		n++
	}
	return n
}

// RetryAfter returns the time until one more request may be sent, as Allow decides; ok is
// false if part is zero and it may never be.
func RetryAfter(sent []time.Time, part int, now time.Time) (d time.Duration, ok bool) {
	switch {
	case part <= 0:
		return 0, false
	case len(sent) < part:
		return 0, true
	default:
		return max(sent[len(sent)-part].Add(rateWindow).Sub(now), 0), true
	}
}

// Allow reports whether one more request may be sent now. sent holds the times of
// earlier requests, and at most part requests may be sent within a second. Allow
// returns the times that still count.
func Allow(sent []time.Time, part int, now time.Time) ([]time.Time, bool) {
	i := sort.Search(len(sent), func(i int) bool { return now.Sub(sent[i]) < rateWindow })
	sent = sent[i:]
	return sent, len(sent) < part
}
