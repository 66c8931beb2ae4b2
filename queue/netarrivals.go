package queue

import (
	"math"
	"time"
)

// averagingWindows are the windows, in seconds, over which arrivals are
// averaged. The smaller mean counts: the short window forgets a burst before
// any request is refused because of it, and the long window keeps a few
// requests in quick succession from counting as a burst.
var averagingWindows = [2]float64{0.03, 0.2}

// netArrivals is a running mean of arrivals minus abandoned requests per
// second.
type netArrivals struct {
	counts  [2]float64
	updated time.Time
}

func (f *netArrivals) add(n float64, now time.Time) {
	for i, w := range averagingWindows {
		f.counts[i] = f.mean(i, now)*w + n
	}
	f.updated = now
}

func (f *netArrivals) rate(now time.Time) float64 {
	return min(f.mean(0, now), f.mean(1, now))
}

func (f *netArrivals) mean(i int, now time.Time) float64 {
	return f.counts[i] / averagingWindows[i] * math.Exp(-now.Sub(f.updated).Seconds()/averagingWindows[i])
}
