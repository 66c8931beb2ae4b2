package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/second"
	"celeryreach.example/celeryreach/tally"
)

// Record counts a request of an account that ended after d.
func (b *Burn) Record(account, service string, o outcome.Outcome, d time.Duration) {
	if account == "" || service == "" {
		return // nobody's budget: no key that works, or no such path
	}
	l := b.Latency(service)
	n := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally(cell{minute: minute(n), account: account, service: service})
	switch o.Outcome {
	case outcome.Answered:
		t.Answered++
		if l == 0 || d <= l {
			t.Timely++
		}
		b.latency(service, d)
	case outcome.Left:
		t.Left++
	case outcome.OverRate:
		t.OverRate++
	case outcome.NoRoute, outcome.BadRequest, outcome.Conflict, outcome.Running, outcome.TooLarge, outcome.TicketElsewhere,
		outcome.KeyUnknown, outcome.AnswerNotKept:
		t.Mistaken++
	default:
		if o.Ran == outcome.RanNo {
			t.Inside++
		} else {
			t.Failed++
		}
	}
	b.rate(tick{second: n.Unix(), account: account}, o)
}

// rate counts against the account's rate. A request that ended "not run" has
// given its token back.
func (b *Burn) rate(k tick, o outcome.Outcome) {
	if o.Outcome != outcome.OverRate && o.Ran == outcome.RanNo {
		return
	}
	if b.seconds == nil {
		b.seconds = make(map[tick]*second.Second)
	}
	s := b.seconds[k]
	if s == nil {
		s = &second.Second{Second: k.second, Account: k.account}
		b.seconds[k] = s
	}
	if o.Outcome == outcome.OverRate {
		s.Refused++
	} else {
		s.Admitted++
	}
}

func (b *Burn) tally(k cell) *tally.Tally {
	if b.tallies == nil {
		b.tallies = make(map[cell]*tally.Tally)
	}
	t := b.tallies[k]
	if t == nil {
		t = &tally.Tally{Minute: k.minute, Account: k.account, Service: k.service}
		b.tallies[k] = t
	}
	return t
}

func (b *Burn) latency(service string, d time.Duration) {
	if b.latencies == nil {
		b.latencies = make(map[string]*hdrhistogram.WindowedHistogram)
		b.rotated = b.Clock.Now()
	}
	h := b.latencies[service]
	if h == nil {
		h = hdrhistogram.NewWindowed(latencyPieces, 1, maxLatency, precision)
		b.latencies[service] = h
	}
	// A value is only refused above the greatest one, to which it is cut.
	_ = h.Current.RecordValue(min(d.Microseconds(), maxLatency))
}
