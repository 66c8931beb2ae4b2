package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/requestcounts"
)

// recentWindow is the window of the measures without an error budget.
const recentWindow = time.Hour

// worstServed returns the account with the smallest fraction of complete answers.
// It returns nothing if the objective sets no WorstShare or if the service had no
// requests.
func (b *builder) worstServed(o objective.Objective) []worstAccount {
	if o.WorstShare == 0 {
		return nil
	}
	r := worstAccount{Service: o.Service, Served: 2, Target: o.WorstShare}
	for _, a := range b.config.Accounts {
		s := scope{service: o.Service, account: a.Name}
		d, t := badAndTotal(Complete, b.sum(s, recentWindow), b.wrongfulRefusals(s, recentWindow))
		if t > 0 && (t-d)/t < r.Served {
			r.Account = a.Name
			r.Served = (t - d) / t
		}
	}
	if r.Account == "" {
		return nil
	}
	r.Met = r.Served >= r.Target
	return []worstAccount{r}
}

// headroom returns the fraction of free slots in each region, or nothing if the
// objective sets no Headroom.
func (b *builder) headroom(o objective.Objective) []headroom {
	if o.Headroom == 0 {
		return nil
	}
	var r []headroom
	m := b.now.Add(-recentWindow).Unix() / 60
	for _, g := range b.config.Regions {
		var slots, busy uint64
		for _, h := range b.hostCounts {
			for _, u := range h.Usages {
				if h.Region == g.Name && u.Service == o.Service && u.Minute > m {
					slots += u.Slots
					busy += u.Busy
				}
			}
		}
		if slots > 0 {
			f := 1 - float64(busy)/float64(slots)
			r = append(r, headroom{Service: o.Service, Region: g.Name, Free: f, Target: o.Headroom, Met: f >= o.Headroom})
		}
	}
	return r
}

func (b *builder) drains() []drain {
	t := make(map[string]time.Duration)
	for _, o := range b.config.Objectives {
		for _, v := range b.config.Backends {
			if v.Service == o.Service {
				t[v.Name] = o.DrainTime
			}
		}
	}
	var r []drain
	for _, h := range b.hostCounts {
		for _, d := range h.Drains {
			x := drain{Backend: d.Backend, Host: h.Host, At: d.At, Took: d.Took, Target: t[d.Backend]}
			x.Met = x.Target == 0 || x.Took <= x.Target
			r = append(r, x)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].At.Before(r[j].At) })
	return r
}

// latency merges the histograms of all hosts. A histogram that cannot be decoded
// comes from a host with a newer version of the program. It is skipped, and its
// answers are missing from Answers.
func (b *builder) latency(o objective.Objective) []latency {
	var m *hdrhistogram.Histogram
	for _, h := range b.hostCounts {
		e, ok := h.Latencies[o.Service]
		if !ok {
			continue
		}
		d, err := hdrhistogram.Decode(e)
		if err != nil {
			continue
		}
		if m == nil {
			m = d
		} else {
			m.Merge(d)
		}
	}
	if m == nil || m.TotalCount() == 0 {
		return nil
	}
	a := func(p float64) time.Duration { return time.Duration(m.ValueAtQuantile(p)) * time.Microsecond }
	return []latency{{
		Service: o.Service, Answers: m.TotalCount(), P50: a(50), P90: a(90), P99: a(99), P999: a(99.9),
		Target: o.Latency, TargetFraction: o.LatencyFraction,
	}}
}

// burnByMinute returns for each minute the higher of the burn rates for latency
// and for complete answers.
func (b *builder) burnByMinute(o objective.Objective) []burnPoint {
	m := make(map[int64]*requestcounts.Requestcounts)
	for _, h := range b.hostCounts {
		for _, v := range h.Tallies {
			if v.Service != o.Service {
				continue
			}
			if m[v.Minute] == nil {
				m[v.Minute] = new(requestcounts.Requestcounts)
			}
			m[v.Minute].Add(v)
		}
	}
	w := b.wrongfulByMinute(o.Service)
	var r []burnPoint
	for k, t := range m {
		x, n := badAndTotal(Latency, *t, 0)
		y, z := badAndTotal(Complete, *t, w[k])
		f := max(burnRate(x, n, 1-o.LatencyFraction), burnRate(y, z, 1-o.WholeFraction))
		r = append(r, burnPoint{Minute: k, Service: o.Service, Burn: f})
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Minute < r[j].Minute })
	return r
}

// wrongfulByMinute estimates the wrongful refusals of a service in each minute. As in
// wrongfulRefusals, the wrongful refusals of an account are distributed in proportion
// to its rate refusals by each service.
func (b *builder) wrongfulByMinute(service string) map[int64]float64 {
	r := make(map[int64]float64)
	d := Windows[len(Windows)-1]
	for _, a := range b.config.Accounts {
		l := b.sum(scope{account: a.Name}, d).OverRate
		if l == 0 {
			continue
		}
		f := float64(b.sum(scope{account: a.Name, service: service}, d).OverRate) / float64(l)
		for s, n := range b.wrongfulBySecond[a.Name] {
			r[s/60] += f * float64(n)
		}
	}
	return r
}
