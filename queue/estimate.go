package queue

import (
	"time"
)

const (
	// smoothing is the part of a new sample in a running mean.
	smoothing = 0.1
	// nominalHold stands for the time that a request holds a slot while no
	// request has ended yet.
	nominalHold = 0.01
	// maxSample bounds a sample in multiples of the mean: one export of 30 s
	// among requests of 20 ms must not make a line look so slow that everybody
	// in it is refused. A line that did become slow shows in a few samples.
	maxSample = 4
	minRetry  = 50 * time.Millisecond
	maxRetry  = 30 * time.Second
)

// estimate knows how fast the line moves. By Little's law that is the number of
// slots in use divided by the time a request holds one; unlike a count of
// grants a second it needs no window and is right after an idle time too.
type estimate struct {
	busy     int
	hold     float64
	released time.Time
	// began is when the line was last empty. Time without a release counts
	// from there, since an idle queue has no releases either.
	began time.Time
}

func (e *estimate) add(t float64, now time.Time) {
	e.released = now
	if e.hold == 0 {
		e.hold = t
		return
	}
	e.hold += smoothing * (min(t, maxSample*e.hold) - e.hold)
}

// serve returns the time in which n requests get a slot, zero when nothing is
// known. A long time without any release counts as a longer hold, since no
// sample arrives from backend servers that went silent.
func (e *estimate) serve(n float64, now time.Time) time.Duration {
	if e.hold == 0 {
		return 0
	}
	h := max(e.hold, min(now.Sub(e.released), now.Sub(e.began)).Seconds())
	return seconds(n * h / float64(max(1, e.busy)))
}

// expect returns the time until the request at a place of an account's line is
// served, if nobody else arrives: all that is served before it is at most the
// whole line, and at most the parts that the other accounts have meanwhile.
func (q *Queue) expect(c *class, a *account, place int, now time.Time) time.Duration {
	t := c.estimate.serve(min(float64(c.waiting), float64(place)*c.weights/a.weight), now)
	if c == &q.deferred && q.urgent.waiting > 0 {
		t += q.urgent.estimate.serve(float64(q.urgent.waiting), now)
	}
	return t
}

// late reports whether the request at a place of an account's line cannot be
// served in time. Served newest first, it also waits for those that arrive in
// the meantime; when they arrive faster than they are served and leave, an
// overtaken request has no chance while that lasts, and is told so.
func (q *Queue) late(c *class, a *account, w *waiter, place int, now time.Time) bool {
	t := q.expect(c, a, place, now)
	if w != a.latest && q.Patience > 0 && now.Sub(w.entered) > q.Patience {
		f := 1 - a.flow.rate(now)*t.Seconds()/float64(place)
		if f <= 0 {
			return true
		}
		t = seconds(t.Seconds() / f)
	}
	return now.Add(t).After(w.deadline)
}

func (q *Queue) retryAfter(c *class, a *account) time.Duration {
	return q.retryAfterAt(c, a, q.Clock.Now())
}

// retryAfterAt is the time in which the account's line is served.
func (q *Queue) retryAfterAt(c *class, a *account, now time.Time) time.Duration {
	return min(max(q.expect(c, a, a.waiting, now), minRetry), maxRetry)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
