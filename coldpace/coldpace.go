// Package coldpace divides the rate that a cold backend server bears between
// the hosts that may reach it.
package coldpace

import (
	"sort"
	"time"

	"celeryreach.example/celeryreach/rendezvous"
)

const (
	// window is a little longer than the second over which a backend server
	// counts, since requests of one host take different times to arrive.
	window = 1100 * time.Millisecond
	// safety is the part of the bound that is divided: hosts disagree for a
	// moment on how many they are.
	safety = 0.85
)

// Coldpace tells how many requests a second this host may send to a cold
// backend server. A host that comes back cold under full load crashes again, and
// nobody can count all hosts' requests in time: the parts are fixed instead.
type Coldpace struct {
	// Self is the name of this host.
	Self string
	// Hosts returns the names of all hosts that may send, this one included.
	Hosts func() []string
	// Overage and Slack make the bound of a rate: rate x Overage + Slack
	// requests in any second.
	Overage, Slack float64
}

// Part returns how many requests this host may send in any second to a cold
// backend server that bears rate requests per second.
func (c *Coldpace) Part(backend string, rate float64) int {
	t := int((rate*c.Overage + c.Slack) * safety)
	h := c.Hosts()
	if len(h) == 0 {
		return 0
	}
	n := t / len(h)
	// The order of hosts is another for each backend server.
	if rendezvous.Rank(backend, c.Self, h) < t%len(h) {
		n++
	}
	return n
}

// Allow reports whether one more request fits behind those sent at times. It
// returns the times that still count.
func Allow(sent []time.Time, part int, now time.Time) ([]time.Time, bool) {
	i := sort.Search(len(sent), func(i int) bool { return now.Sub(sent[i]) < window })
	sent = sent[i:]
	return sent, len(sent) < part
}
