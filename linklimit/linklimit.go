// Package linklimit keeps the bytes that hosts send each other between regions
// below the limits of the links.
package linklimit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/link"
)

// Prefix starts the names of the limits that are links; the sending and the
// receiving region follow.
const Prefix = "link/"

// window is how much of a second's bytes may be sent at once.
const window = 0.25

// Linklimit counts the bytes that this host sends on each link against its part
// of the link. A message is sent unless earlier ones took too much, whatever its size,
// and what it took too much is missing later: over any time t a host sends at
// most its part of the bytes in t, of the window, and one message more.
type Linklimit struct {
	// Clock measures the time.
	Clock clockwork.Clock
	// Links returns the limits in force.
	Links func() []link.Link
	// Part returns the part of a limit that this host may use now, in 0..1.
	Part func(limit string) float64

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	bytes float64
	at    time.Time
}

// Take admits a message of probably n bytes. The function it returns corrects
// that by what was sent. A refused sender is told when to try again.
func (l *Linklimit) Take(from, to string, n int64) (sent func(n int64), retry time.Duration, ok bool) {
	k, ok := l.find(from, to)
	if !ok {
		return func(int64) {}, 0, true
	}
	m := Prefix + from + "/" + to
	r := float64(k.BytesPerSecond) * l.Part(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(m, r)
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

// bucket returns the bucket as it stands now. A new one is empty: this host may
// have replaced one that has just used the same part.
func (l *Linklimit) bucket(limit string, rate float64) *bucket {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	n := l.Clock.Now()
	b := l.buckets[limit]
	if b == nil {
		b = &bucket{at: n}
		l.buckets[limit] = b
	}
	b.bytes = min(b.bytes+rate*n.Sub(b.at).Seconds(), rate*window)
	b.at = n
	return b
}

func (l *Linklimit) find(from, to string) (link.Link, bool) {
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
