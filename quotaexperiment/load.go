package quotaexperiment

import (
	"time"

	"celeryreach.example/celeryreach/account"
)

// windowLength is the time over which the refusals of an account that offers
// more than its rate are compared with what the account was due.
const windowLength = 10 * time.Second

// accountLoad is the load of one account's callers, and the exact token bucket
// that a central counter would use.
type accountLoad struct {
	account account.Account
	index   int
	tokens  int64
	at      time.Time
	// checkTokens is an exact bucket of the admitted requests. It verifies that
	// they stay within the limits.
	checkTokens int64
	checkedAt   time.Time

	windows []*windowCount
}

// windowCount counts the requests that arrived during one window.
type windowCount struct {
	start time.Time
	// due is the number of requests that the exact bucket admits.
	due      int
	admitted int
}

func newAccountLoad(a account.Account, i int) *accountLoad {
	return &accountLoad{account: a, index: i, tokens: int64(a.Burst) * int64(time.Second), checkTokens: int64(a.Burst) * int64(time.Second)}
}

// begin starts the callers. The first account offers factor times its rate if
// factor is above one.
func (p *trial) begin(factor float64) {
	for _, o := range p.loads {
		o.at, o.checkedAt = p.simulation.Now(), p.simulation.Now()
		f := ordinaryLoad
		if o.index == 0 && factor > 1 {
			f = factor
		}
		p.scheduleNext(o, f*o.account.Rate)
	}
}

// scheduleNext schedules the next request of an account.
func (p *trial) scheduleNext(o *accountLoad, rate float64) {
	d := time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
	p.simulation.At(d, func() {
		if p.ended {
			return
		}
		p.handleRequest(o)
		p.scheduleNext(o, rate)
	})
}

// end stops the callers and sums all windows except the last one, whose
// requests may still wait.
func (p *trial) end() {
	p.ended = true
	for _, o := range p.loads {
		p.result.add(o, p.faultAt)
	}
}

// window returns the count for requests that arrive at now.
func (o *accountLoad) window(now time.Time) *windowCount {
	if n := len(o.windows); n > 0 && now.Sub(o.windows[n-1].start) < windowLength {
		return o.windows[n-1]
	}
	w := &windowCount{start: now}
	o.windows = append(o.windows, w)
	return w
}

// handleRequest simulates one request. Callers whose entry host is down use
// another one.
func (p *trial) handleRequest(o *accountLoad) {
	p.result.offered++
	n := p.simulation.Now()
	b := int64(o.account.Burst) * int64(time.Second)
	o.tokens = min(b, o.tokens+int64(o.account.Rate*float64(n.Sub(o.at))))
	o.at = n
	w := o.window(n)
	if o.tokens >= int64(time.Second) {
		o.tokens -= int64(time.Second)
		w.due++
	}
	h, ok := p.pickEntryHost(o.index)
	if !ok {
		return
	}
	q := p.simulation.Quota(h)
	if _, ok := q.TryTake(o.account.Name, false); ok {
		p.recordAdmission(o, w)
		return
	}
	if q.StartWaiting(o.account.Name, maxWait) {
		p.retryWaiting(o, w, h, n.Add(maxWait))
	}
}

func (p *trial) retryWaiting(o *accountLoad, w *windowCount, host int, until time.Time) {
	q := p.simulation.Quota(host)
	d, ok := q.TryTake(o.account.Name, true)
	if ok {
		p.recordAdmission(o, w)
		q.StopWaiting(o.account.Name)
		return
	}
	if p.simulation.Now().Add(d).After(until) || !p.simulation.Runs(host) {
		q.StopWaiting(o.account.Name)
		return
	}
	p.simulation.At(d, func() { p.retryWaiting(o, w, host, until) })
}

// recordAdmission counts an admission and checks it against the limits with
// exact arithmetic.
func (p *trial) recordAdmission(o *accountLoad, w *windowCount) {
	n := p.simulation.Now()
	b := int64(o.account.Burst) * int64(time.Second)
	o.checkTokens = min(b, o.checkTokens+int64(o.account.Rate*float64(n.Sub(o.checkedAt))))
	o.checkedAt = n
	o.checkTokens -= int64(time.Second)
	if o.checkTokens < 0 {
		p.result.overLimit++
	}
	w.admitted++
}

// pickEntryHost draws the entry host of a request.
func (p *trial) pickEntryHost(account int) (int, bool) {
	w := p.weights[account]
	s := 0.0
	for i, v := range w {
		if p.simulation.Runs(p.current[i]) {
			s += v
		}
	}
	s *= p.random.Float64()
	for i, v := range w {
		if !p.simulation.Runs(p.current[i]) {
			continue
		}
		s -= v
		if s <= 0 {
			return p.current[i], true
		}
	}
	return 0, false
}

// result is the total of one run.
type result struct {
	offered int
	// overLimit counts admissions above the limits of an account.
	overLimit int
	// messages and storeOperations are per second.
	messages        float64
	storeOperations float64
	// due counts the requests that the exact buckets admit. shortfall counts
	// how many fewer requests were admitted, summed over the windows with
	// fewer.
	due       int
	shortfall int
	// faultMinuteDue and faultMinuteShortfall are due and shortfall for the
	// minute after the fault.
	faultMinuteDue       int
	faultMinuteShortfall int
	// lowestServed is the fraction of its due requests that the worst-served
	// account gets.
	lowestServed float64
}

func (r *result) add(o *accountLoad, event time.Time) {
	d, h := 0, 0
	for _, w := range o.windows[:max(len(o.windows)-1, 0)] {
		s := max(w.due-w.admitted, 0)
		d += w.due
		h += s
		if a := w.start.Sub(event); a >= 0 && a < time.Minute {
			r.faultMinuteDue += w.due
			r.faultMinuteShortfall += s
		}
	}
	r.due += d
	r.shortfall += h
	if s := 1 - float64(h)/float64(max(d, 1)); r.lowestServed == 0 || s < r.lowestServed {
		r.lowestServed = s
	}
}

func (r *result) wrongfulPercent() float64 {
	return 100 * float64(r.shortfall) / float64(max(r.due, 1))
}

func (r *result) minuteAfterPercent() float64 {
	return 100 * float64(r.faultMinuteShortfall) / float64(max(r.faultMinuteDue, 1))
}

func (r *result) worstPercent() float64 {
	return 100 * r.lowestServed
}
