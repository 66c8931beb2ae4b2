// Package burncounter counts how requests ended on a host, for the burn report.
package burncounter

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/completeddrain"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/secondcount"
	"celeryreach.example/celeryreach/usage"
	"celeryreach.example/celeryreach/wire"
)

const (
	// requestCountRetention is the longest window of the report.
	requestCountRetention = 6 * time.Hour
	// rateRetention limits how far back the report can replay requests against
	// an account's rate.
	rateRetention  = time.Hour
	sampleInterval = time.Second
	// Latencies of the last hour are kept in windows of five minutes.
	latencyWindowCount = 12
	latencyWindow      = 5 * time.Minute
	maxLatencyMicros   = int64(10 * time.Minute / time.Microsecond)
	latencyDigits      = 2
)

// Burncounter holds the counts of one host. They are in memory only; package countstore
// copies them to the platform.
type Burncounter struct {
	// Clock is the host's clock.
	Clock clockwork.Clock
	// Self identifies this host.
	Self member.Member
	// Latency returns the latency objective of a service, or zero if it has none.
	Latency func(service string) time.Duration
	// SlotLoads returns the current slots of all services.
	SlotLoads func() []*wire.Load

	mu            sync.Mutex
	requestCounts map[minuteKey]*requestcounts.Requestcounts
	seconds       map[secondKey]*secondcount.Secondcount
	usages        map[minuteKey]*usage.Usage
	drains        []completeddrain.Completeddrain
	latencies     map[string]*hdrhistogram.WindowedHistogram
	lastRotation  time.Time
	// lastExpiryMinute is in minutes since the Unix epoch.
	lastExpiryMinute int64
}

// minuteKey identifies the counts of one minute. The account is empty for slot
// usage.
type minuteKey struct {
	minute           int64
	account, service string
}

// secondKey identifies the rate counts of an account in one second.
type secondKey struct {
	second  int64
	account string
}

// Run samples the slots and removes expired counts until ctx ends.
func (b *Burncounter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.Clock.After(sampleInterval):
		}
		l := b.SlotLoads()
		b.mu.Lock()
		b.sampleUsage(l)
		b.expire()
		b.mu.Unlock()
	}
}

// RecordDrain records a completed drain.
func (b *Burncounter) RecordDrain(backend string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drains = append(b.drains, completeddrain.Completeddrain{At: b.Clock.Now().UTC(), Backend: backend, Took: took})
}

func (b *Burncounter) sampleUsage(l []*wire.Load) {
	if b.usages == nil {
		b.usages = make(map[minuteKey]*usage.Usage)
	}
	m := unixMinute(b.Clock.Now())
	for _, v := range l {
		k := minuteKey{minute: m, service: v.Service}
		u := b.usages[k]
		if u == nil {
			u = &usage.Usage{Minute: m, Service: v.Service}
			b.usages[k] = u
		}
		u.Slots += uint64(v.Slots)
		u.Busy += uint64(v.Busy)
	}
}

func (b *Burncounter) expire() {
	n := b.Clock.Now()
	// Counts expire once a minute: scanning all counts every second would block
	// requests for a millisecond each time at current sizes.
	if b.lastExpiryMinute == unixMinute(n) {
		return
	}
	b.lastExpiryMinute = unixMinute(n)
	o := unixMinute(n.Add(-requestCountRetention))
	for k := range b.requestCounts {
		if k.minute < o {
			delete(b.requestCounts, k)
		}
	}
	for k := range b.usages {
		if k.minute < o {
			delete(b.usages, k)
		}
	}
	s := n.Add(-rateRetention).Unix()
	for k := range b.seconds {
		if k.second < s {
			delete(b.seconds, k)
		}
	}
	for len(b.drains) > 0 && n.Sub(b.drains[0].At) > requestCountRetention {
		b.drains = b.drains[1:]
	}
	if n.Sub(b.lastRotation) >= latencyWindow {
		for _, h := range b.latencies {
			h.Rotate()
		}
		b.lastRotation = n
	}
}

// unixMinute returns the number of minutes since the Unix epoch.
func unixMinute(t time.Time) int64 {
	return t.Unix() / 60
}
