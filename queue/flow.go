package queue

import (
	"math"
	"time"
)

// windows are the times over which arrivals are averaged. The smaller mean
// counts: the short one forgets a burst before anybody is refused for it, the
// long one keeps a few requests that come close together from counting as a rush.
var windows = [2]float64{0.03, 0.2}

// flow is a running mean of arrivals less departures a second.
type flow struct {
	counts [2]float64
	at     time.Time
}

func (f *flow) add(n float64, now time.Time) {
	for i, w := range windows {
		f.counts[i] = f.mean(i, now)*w + n
	}
	f.at = now
}

func (f *flow) rate(now time.Time) float64 {
	return min(f.mean(0, now), f.mean(1, now))
}

func (f *flow) mean(i int, now time.Time) float64 {
	return f.counts[i] / windows[i] * math.Exp(-now.Sub(f.at).Seconds()/windows[i])
}
