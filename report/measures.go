package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/tally"
)

// recent is the window of the measures that have no budget.
const recent = time.Hour

func (b *builder) worst(o objective.Objective) []worst {
	if o.WorstShare == 0 {
		return nil
	}
	r := worst{Service: o.Service, Served: 2, Target: o.WorstShare}
	for _, a := range b.config.Accounts {
		s := scope{service: o.Service, account: a.Name}
		d, t := parts(Whole, b.sum(s, recent), b.wrong(s, recent))
		if t > 0 && (t-d)/t < r.Served {
			r.Account = a.Name
			r.Served = (t - d) / t
		}
	}
	if r.Account == "" {
		return nil
	}
	r.Met = r.Served >= r.Target
	return []worst{r}
}

func (b *builder) headroom(o objective.Objective) []headroom {
	if o.Headroom == 0 {
		return nil
	}
	var r []headroom
	m := b.now.Add(-recent).Unix() / 60
	for _, g := range b.config.Regions {
		var slots, busy uint64
		for _, h := range b.all {
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
	for _, h := range b.all {
		for _, d := range h.Drains {
			x := drain{Backend: d.Backend, Host: h.Host, At: d.At, Took: d.Took, Target: t[d.Backend]}
			x.Met = x.Target == 0 || x.Took <= x.Target
			r = append(r, x)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].At.Before(r[j].At) })
	return r
}

// latency merges the histograms of all hosts. A histogram that cannot be read
// comes from a newer host; its answers are missing in Answers.
func (b *builder) latency(o objective.Objective) []latency {
	var m *hdrhistogram.Histogram
	for _, h := range b.all {
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

// minutes returns for each minute the faster of the burns for latency and for
// whole answers.
func (b *builder) minutes(o objective.Objective) []point {
	m := make(map[int64]*tally.Tally)
	for _, h := range b.all {
		for _, v := range h.Tallies {
			if v.Service != o.Service {
				continue
			}
			if m[v.Minute] == nil {
				m[v.Minute] = new(tally.Tally)
			}
			m[v.Minute].Add(v)
		}
	}
	w := b.wrongfulByMinute(o.Service)
	var r []point
	for k, t := range m {
		x, n := parts(Latency, *t, 0)
		y, z := parts(Whole, *t, w[k])
		f := max(burn(x, n, 1-o.LatencyFraction), burn(y, z, 1-o.WholeFraction))
		r = append(r, point{Minute: k, Service: o.Service, Burn: f})
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Minute < r[j].Minute })
	return r
}

// wrongfulByMinute deals the wrongful refusals out to a service like wrong.
func (b *builder) wrongfulByMinute(service string) map[int64]float64 {
	r := make(map[int64]float64)
	d := Windows[len(Windows)-1]
	for _, a := range b.config.Accounts {
		l := b.sum(scope{account: a.Name}, d).OverRate
		if l == 0 {
			continue
		}
		f := float64(b.sum(scope{account: a.Name, service: service}, d).OverRate) / float64(l)
		for s, n := range b.wrongful[a.Name] {
			r[s/60] += f * float64(n)
		}
	}
	return r
}
