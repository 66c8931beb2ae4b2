// Package burn counts on each host how requests ended, for the burn report.
package burn

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/drained"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/second"
	"celeryreach.example/celeryreach/tally"
	"celeryreach.example/celeryreach/usage"
	"celeryreach.example/celeryreach/wire"
)

const (
	// keepTallies is the longest window of the report.
	keepTallies = 6 * time.Hour
	// keepRates bounds what the replay against rates can look back on.
	keepRates   = time.Hour
	sampleEvery = time.Second
	// Latencies are kept for the last hour in pieces of five minutes.
	latencyPieces = 12
	latencyPiece  = 5 * time.Minute
	maxLatency    = int64(10 * time.Minute / time.Microsecond)
	precision     = 2
)

// Burn is the counts of one host. They are in memory only; package keep hands
// them on.
type Burn struct {
	// Clock is the host's clock.
	Clock clockwork.Clock
	// Self is the host.
	Self member.Member
	// Latency returns the objective's latency of a service, zero if there is
	// no objective.
	Latency func(service string) time.Duration
	// Loads returns the slots of the services now.
	Loads func() []*wire.Load

	mu        sync.Mutex
	tallies   map[cell]*tally.Tally
	seconds   map[tick]*second.Second
	usages    map[cell]*usage.Usage
	drains    []drained.Drained
	latencies map[string]*hdrhistogram.WindowedHistogram
	rotated   time.Time
	expired   int64
}

type cell struct {
	minute           int64
	account, service string
}

type tick struct {
	second  int64
	account string
}

// Run samples the slots and drops what is too old, until ctx ends.
func (b *Burn) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.Clock.After(sampleEvery):
		}
		l := b.Loads()
		b.mu.Lock()
		b.sample(l)
		b.expire()
		b.mu.Unlock()
	}
}

// Drained counts a drain that ended.
func (b *Burn) Drained(backend string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drains = append(b.drains, drained.Drained{At: b.Clock.Now().UTC(), Backend: backend, Took: took})
}

func (b *Burn) sample(l []*wire.Load) {
	if b.usages == nil {
		b.usages = make(map[cell]*usage.Usage)
	}
	m := minute(b.Clock.Now())
	for _, v := range l {
		k := cell{minute: m, service: v.Service}
		u := b.usages[k]
		if u == nil {
			u = &usage.Usage{Minute: m, Service: v.Service}
			b.usages[k] = u
		}
		u.Slots += uint64(v.Slots)
		u.Busy += uint64(v.Busy)
	}
}

func (b *Burn) expire() {
	n := b.Clock.Now()
	// Once a minute: a look at every count in each second would hold up
	// requests for a millisecond at today's sizes.
	if b.expired == minute(n) {
		return
	}
	b.expired = minute(n)
	o := minute(n.Add(-keepTallies))
	for k := range b.tallies {
		if k.minute < o {
			delete(b.tallies, k)
		}
	}
	for k := range b.usages {
		if k.minute < o {
			delete(b.usages, k)
		}
	}
	s := n.Add(-keepRates).Unix()
	for k := range b.seconds {
		if k.second < s {
			delete(b.seconds, k)
		}
	}
	for len(b.drains) > 0 && n.Sub(b.drains[0].At) > keepTallies {
		b.drains = b.drains[1:]
	}
	if n.Sub(b.rotated) >= latencyPiece {
		for _, h := range b.latencies {
			h.Rotate()
		}
		b.rotated = n
	}
}

func minute(t time.Time) int64 {
	return t.Unix() / 60
}
