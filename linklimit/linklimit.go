// Package linklimit keeps the bytes that hosts send to each other between
// regions below the limits of the links.
package linklimit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/link"
)

// Prefix begins the names of limits that belong to links; the sending and the
// receiving region follow.
const Prefix = "link/"

// burstSeconds is the time whose bytes may be sent at once.
const burstSeconds = 0.25

// Linklimit counts the bytes that this host sends on each link against its part
// of the link's capacity. A message is sent, whatever its size, unless earlier
// messages have used up the available bytes. Bytes beyond the available ones
// are deducted from those that may be sent later. In any period of length t a
// host sends at most its part of the bytes for t plus burstSeconds, and one
// more message.
type Linklimit struct {
	// Clock measures the time.
	Clock clockwork.Clock
	// Links returns the limits in force.
	Links func() []link.Link
	// Fraction returns the fraction of a limit that this host may use now, in
	// 0..1.
	Fraction func(limit string) float64

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	bytes float64
	at    time.Time
}

// Take admits a message of an estimated n bytes. The returned function corrects
// the estimate to the bytes that were sent. If the message is refused, retry is
// the time after which to try again.
func (l *Linklimit) Take(from, to string, n int64) (sent func(n int64), retry time.Duration, ok bool) {
	k, ok := l.findLink(from, to)
	if !ok {
		return func(int64) {}, 0, true
	}
	m := Prefix + from + "/" + to
	r := float64(k.BytesPerSecond) * l.Fraction(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refilledBucket(m, r)
	if r <= 0 {
		return nil, time.Second, false
	}
	if b.bytes < 0 {
		return nil, time.Duration(-b.bytes/r*float64(time.Second)) + 1, false
	}
	b.bytes -= float64(n)
	return func(s int64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		b.bytes -= float64(s - n)
	}, 0, true
}

// refilledBucket returns the bucket with the bytes added since its last use. A
// new bucket is empty, because this host may replace a host that has just sent
// the bytes of the same part.
func (l *Linklimit) refilledBucket(limit string, rate float64) *bucket {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	n := l.Clock.Now()
	b := l.buckets[limit]
	if b == nil {
		b = &bucket{at: n}
		l.buckets[limit] = b
	}
	b.bytes = min(b.bytes+rate*n.Sub(b.at).Seconds(), rate*burstSeconds)
	b.at = n
	return b
}

func (l *Linklimit) findLink(from, to string) (link.Link, bool) {
	if from == to {
		return link.Link{}, false
	}
	for _, k := range l.Links() {
		if k.From == from && k.To == to {
			return k, true
		}
	}
	return link.Link{}, false
}
