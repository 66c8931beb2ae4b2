package experiment

import (
	"time"

	"celeryreach.example/celeryreach/account"
)

// window is the time over which the refusals of an account that offers more
// than its rate are weighed against what it was due.
const window = 10 * time.Second

// offer is what one account's callers send, and the exact bucket that a
// central counter would be.
type offer struct {
	account account.Account
	index   int
	tokens  int64
	at      time.Time
	// judged counts what was admitted, to see that it stays in the limits.
	judged   int64
	judgedAt time.Time

	windows []*span
}

// span counts the requests that came in during one window.
type span struct {
	start    time.Time
	due      int
	admitted int
}

func newOffer(a account.Account, i int) *offer {
	return &offer{account: a, index: i, tokens: int64(a.Burst) * int64(time.Second), judged: int64(a.Burst) * int64(time.Second)}
}

// begin starts the callers. The first account offers factor times its rate if
// that is above one.
func (p *play) begin(factor float64) {
	for _, o := range p.offers {
		o.at, o.judgedAt = p.simulation.Now(), p.simulation.Now()
		f := load
		if o.index == 0 && factor > 1 {
			f = factor
		}
		p.next(o, f*o.account.Rate)
	}
}

// next schedules an account's next request.
func (p *play) next(o *offer, rate float64) {
	d := time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
	p.simulation.At(d, func() {
		if p.ended {
			return
		}
		p.arrive(o)
		p.next(o, rate)
	})
}

// end stops the callers and adds up all windows but the last, whose requests
// may still wait.
func (p *play) end() {
	p.ended = true
	for _, o := range p.offers {
		p.result.add(o, p.event)
	}
}

// window returns the count for requests that come in now.
func (o *offer) window(now time.Time) *span {
	if n := len(o.windows); n > 0 && now.Sub(o.windows[n-1].start) < window {
		return o.windows[n-1]
	}
	w := &span{start: now}
	o.windows = append(o.windows, w)
	return w
}

// arrive plays one request: callers whose entry host is gone use another.
func (p *play) arrive(o *offer) {
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
	h, ok := p.entry(o.index)
	if !ok {
		return
	}
	q := p.simulation.Quota(h)
	if _, ok := q.Try(o.account.Name, false); ok {
		p.admit(o, w)
		return
	}
	if q.Join(o.account.Name, maxWait) {
		p.wait(o, w, h, n.Add(maxWait))
	}
}

func (p *play) wait(o *offer, w *span, host int, until time.Time) {
	q := p.simulation.Quota(host)
	d, ok := q.Try(o.account.Name, true)
	if ok {
		p.admit(o, w)
		q.Leave(o.account.Name)
		return
	}
	if p.simulation.Now().Add(d).After(until) || !p.simulation.Runs(host) {
		q.Leave(o.account.Name)
		return
	}
	p.simulation.At(d, func() { p.wait(o, w, host, until) })
}

// admit counts an admission and judges it by exact arithmetic.
func (p *play) admit(o *offer, w *span) {
	n := p.simulation.Now()
	b := int64(o.account.Burst) * int64(time.Second)
	o.judged = min(b, o.judged+int64(o.account.Rate*float64(n.Sub(o.judgedAt))))
	o.judgedAt = n
	o.judged -= int64(time.Second)
	if o.judged < 0 {
		p.result.over++
	}
	w.admitted++
}

// entry draws the entry host of a request.
func (p *play) entry(account int) (int, bool) {
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

// result adds up one run.
type result struct {
	offered  int
	over     int
	messages float64
	store    float64
	due      int
	short    int
	lateDue  int
	lateLost int
	least    float64
}

func (r *result) add(o *offer, event time.Time) {
	d, h := 0, 0
	for _, w := range o.windows[:max(len(o.windows)-1, 0)] {
		s := max(w.due-w.admitted, 0)
		d += w.due
		h += s
		if a := w.start.Sub(event); a >= 0 && a < time.Minute {
			r.lateDue += w.due
			r.lateLost += s
		}
	}
	r.due += d
	r.short += h
	if s := 1 - float64(h)/float64(max(d, 1)); r.least == 0 || s < r.least {
		r.least = s
	}
}

func (r *result) wrongful() float64 {
	return 100 * float64(r.short) / float64(max(r.due, 1))
}

func (r *result) after() float64 {
	return 100 * float64(r.lateLost) / float64(max(r.lateDue, 1))
}

func (r *result) worst() float64 {
	return 100 * r.least
}
