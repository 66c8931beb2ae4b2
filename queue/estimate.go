package queue

import (
	"time"
)

const (
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.1
	// initialHoldSeconds is the assumed hold time of a request before any
	// request has completed.
	initialHoldSeconds = 0.01
	// maxSampleRatio caps a hold-time sample as a multiple of the mean.
	// Otherwise one export of 30 s among requests of 20 ms would make a queue
	// appear so slow that all its requests are refused. A lasting slowdown still
	// shows after a few samples.
	maxSampleRatio = 4
	minRetry       = 50 * time.Millisecond
	maxRetry       = 30 * time.Second
)

// estimate predicts how long queued requests wait for a slot. By Little's law
// the service rate is the number of busy slots divided by the mean hold time.
// Unlike a count of grants per second this needs no window and is also right
// after an idle period.
type estimate struct {
	busy        int
	meanHold    float64
	lastRelease time.Time
	// nonEmptySince is when the queue last became non-empty. The time without a
	// release is counted from nonEmptySince at the earliest, because an idle
	// queue has no releases either.
	nonEmptySince time.Time
}

func (e *estimate) addSample(t float64, now time.Time) {
	e.lastRelease = now
	if e.meanHold == 0 {
		e.meanHold = t
		return
	}
	e.meanHold += smoothing * (min(t, maxSampleRatio*e.meanHold) - e.meanHold)
}

// serveTime returns the time in which n requests are granted a slot, zero if
// there are no samples yet. A long time without any release counts as a longer
// hold time, because unresponsive backend servers yield no samples.
func (e *estimate) serveTime(n float64, now time.Time) time.Duration {
	if e.meanHold == 0 {
		return 0
	}
	h := max(e.meanHold, min(now.Sub(e.lastRelease), now.Sub(e.nonEmptySince)).Seconds())
	return seconds(n * h / float64(max(1, e.busy)))
}

// expectedWait returns the time until the request at the given position of an
// account's queue is served, if no other requests arrive. The requests served
// before it are at most all waiting requests of the class, and at most the
// shares that the other accounts receive in the meantime. Deferred requests
// wait for the urgent ones as well.
func (q *Queue) expectedWait(c *class, a *accountQueue, place int, now time.Time) time.Duration {
	t := c.estimate.serveTime(min(float64(c.waiting), float64(place)*c.totalWeight/a.weight), now)
	if c == &q.deferred && q.urgent.waiting > 0 {
		t += q.urgent.estimate.serveTime(float64(q.urgent.waiting), now)
	}
	return t
}

// missesDeadline reports whether the request at the given position of an
// account's queue cannot be served before its deadline. When the newest request
// is served first, older requests also wait for all requests that arrive in the
// meantime. While requests arrive faster than they are served or abandoned, the
// older requests are never served.
func (q *Queue) missesDeadline(c *class, a *accountQueue, w *waiter, place int, now time.Time) bool {
	t := q.expectedWait(c, a, place, now)
	if w != a.latest && q.NewestFirstAfter > 0 && now.Sub(w.entered) > q.NewestFirstAfter {
		f := 1 - a.netArrivals.rate(now)*t.Seconds()/float64(place)
		if f <= 0 {
			return true
		}
		t = seconds(t.Seconds() / f)
	}
	return now.Add(t).After(w.deadline)
}

func (q *Queue) retryAfter(c *class, a *accountQueue) time.Duration {
	return q.retryAfterAt(c, a, q.Clock.Now())
}

// retryAfterAt returns the expected time until all waiting requests of the account
// are served, limited to between minRetry and maxRetry.
func (q *Queue) retryAfterAt(c *class, a *accountQueue, now time.Time) time.Duration {
	return min(max(q.expectedWait(c, a, a.waiting, now), minRetry), maxRetry)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
