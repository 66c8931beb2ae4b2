package burncounter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/secondcount"
)

// Record counts a request of an account that ended after d.
func (b *Burncounter) Record(account, service string, o outcome.Outcome, d time.Duration) {
	if account == "" || service == "" {
		return // without a valid key or a known path, the request belongs to no budget
	}
	l := b.Latency(service)
	n := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.countsFor(minuteKey{minute: unixMinute(n), account: account, service: service})
	switch o.Outcome {
	case outcome.Answered:
		t.Answered++
		if l == 0 || d <= l {
			t.Timely++
		}
		b.recordLatency(service, d)
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
	b.recordRate(secondKey{second: n.Unix(), account: account}, o)
}

// recordRate counts the request as admitted or refused under the account's rate. A
// request that was not run for a reason other than the rate has returned its token
// and is not counted.
func (b *Burncounter) recordRate(k secondKey, o outcome.Outcome) {
	if o.Outcome != outcome.OverRate && o.Ran == outcome.RanNo {
		return
	}
	if b.seconds == nil {
		b.seconds = make(map[secondKey]*secondcount.Secondcount)
	}
	s := b.seconds[k]
	if s == nil {
		s = &secondcount.Secondcount{Second: k.second, Account: k.account}
		b.seconds[k] = s
	}
	if o.Outcome == outcome.OverRate {
		s.Refused++
	} else {
		s.Admitted++
	}
}

// countsFor returns the counts of k and creates them if necessary.
func (b *Burncounter) countsFor(k minuteKey) *requestcounts.Requestcounts {
	if b.requestCounts == nil {
		b.requestCounts = make(map[minuteKey]*requestcounts.Requestcounts)
	}
	t := b.requestCounts[k]
	if t == nil {
		t = &requestcounts.Requestcounts{Minute: k.minute, Account: k.account, Service: k.service}
		b.requestCounts[k] = t
	}
	return t
}

func (b *Burncounter) recordLatency(service string, d time.Duration) {
	if b.latencies == nil {
		b.latencies = make(map[string]*hdrhistogram.WindowedHistogram)
		b.lastRotation = b.Clock.Now()
	}
	h := b.latencies[service]
	if h == nil {
		h = hdrhistogram.NewWindowed(latencyWindowCount, 1, maxLatencyMicros, latencyDigits)
		b.latencies[service] = h
	}
	// RecordValue fails only for values above the maximum, which min rules out.
	_ = h.Current.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}
