package report

import (
	"sort"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/replay"
	"celeryreach.example/celeryreach/second"
	"celeryreach.example/celeryreach/sums"
	"celeryreach.example/celeryreach/tally"
)

// builder indexes the counts of all hosts.
type builder struct {
	config   *config.Config
	all      []sums.Sums
	now      time.Time
	wrongful map[string]map[int64]uint64
	// cells hold the counts by window, service, account and region. The many
	// sums of a report are made from these few, not from every minute of every
	// host.
	cells map[time.Duration]map[scope]*tally.Tally
}

// scope picks counts; an empty field means all.
type scope struct {
	service, account, region string
}

func newBuilder(c *config.Config, all []sums.Sums, now time.Time) *builder {
	b := &builder{config: c, all: all, now: now, wrongful: make(map[string]map[int64]uint64), cells: make(map[time.Duration]map[scope]*tally.Tally)}
	var s []second.Second
	for _, v := range all {
		s = append(s, v.Seconds...)
	}
	for _, a := range c.Accounts {
		b.wrongful[a.Name] = replay.Wrongful(a, s)
	}
	for _, w := range Windows {
		b.cells[w] = b.cut(w)
	}
	return b
}

func (b *builder) cut(window time.Duration) map[scope]*tally.Tally {
	r := make(map[scope]*tally.Tally)
	m := b.now.Add(-window).Unix() / 60
	for _, h := range b.all {
		for _, v := range h.Tallies {
			if v.Minute <= m {
				continue
			}
			k := scope{service: v.Service, account: v.Account, region: h.Region}
			if r[k] == nil {
				r[k] = new(tally.Tally)
			}
			r[k].Add(v)
		}
	}
	return r
}

// sum adds up the counts of a scope in a window.
func (b *builder) sum(s scope, window time.Duration) tally.Tally {
	var t tally.Tally
	for k, v := range b.cells[window] {
		if (s.service == "" || s.service == k.service) && (s.account == "" || s.account == k.account) && (s.region == "" || s.region == k.region) {
			t.Add(*v)
		}
	}
	return t
}

// wrong returns the wrongful refusals for the rate in a scope. The replay
// knows accounts only, since rates count over all hosts and services; they are
// dealt out by the refusals of each service and region.
func (b *builder) wrong(s scope, window time.Duration) float64 {
	r := 0.0
	for _, a := range b.accountsOf(s) {
		w := b.wrongfulOf(a.Name, window)
		if w == 0 {
			continue
		}
		l := b.sum(scope{account: a.Name}, window).OverRate
		p := b.sum(scope{service: s.service, account: a.Name, region: s.region}, window).OverRate
		if l > 0 {
			r += float64(w) * float64(p) / float64(l)
		}
	}
	return r
}

func (b *builder) wrongfulOf(account string, window time.Duration) uint64 {
	var w uint64
	m := b.now.Add(-window).Unix() / 60
	for s, n := range b.wrongful[account] {
		if s/60 > m {
			w += n
		}
	}
	return w
}

func (b *builder) accountsOf(s scope) []account.Account {
	if s.account == "" {
		return b.config.Accounts
	}
	for _, a := range b.config.Accounts {
		if a.Name == s.account {
			return []account.Account{a}
		}
	}
	return nil
}

// budgets adds the budgets of one objective: of the whole service, of each
// client account and of each region.
func (b *builder) budgets(r *Report, o objective.Objective) {
	s := []scope{{service: o.Service}}
	for _, a := range b.config.Accounts {
		s = append(s, scope{service: o.Service, account: a.Name})
	}
	for _, g := range b.config.Regions {
		s = append(s, scope{service: o.Service, region: g.Name})
	}
	for _, v := range s {
		if b.sum(v, Windows[len(Windows)-1]) == (tally.Tally{}) {
			continue
		}
		r.Budgets = append(r.Budgets,
			b.budget(v, Latency, o.LatencyFraction, 1-o.LatencyFraction),
			b.budget(v, Whole, o.WholeFraction, 1-o.WholeFraction),
			b.budget(v, Wrongful, o.WrongfulFraction, o.WrongfulFraction))
	}
}

func (b *builder) budget(s scope, objective string, target, allowed float64) budget {
	r := budget{Service: s.service, Account: s.account, Region: s.region, Objective: objective, Target: target}
	for _, w := range Windows {
		t := b.sum(s, w)
		a, o := parts(objective, t, b.wrong(s, w))
		r.Rates = append(r.Rates, rate{Window: w, Total: uint64(o + 0.5), Bad: uint64(a + 0.5), Burn: burn(a, o, allowed)})
	}
	r.Alert = alert(r.Rates)
	return r
}

// parts returns what counts against an objective and of how many. A refusal
// over the rate that was rightful counts nowhere: it is the account's own
// doing. Neither does a caller that left, who got what it wanted or not.
func parts(objective string, t tally.Tally, wrongful float64) (bad, total float64) {
	i := float64(t.Inside) + wrongful
	switch objective {
	case Latency:
		return float64(t.Answered - t.Timely), float64(t.Answered)
	case Whole:
		return float64(t.Failed) + i, float64(t.Answered+t.Failed) + i
	default:
		return i, float64(t.Answered+t.Failed) + i
	}
}

func burn(bad, total, allowed float64) float64 {
	switch {
	case bad <= 0 || total <= 0:
		return 0
	case allowed <= 0:
		return endless
	default:
		return min(endless, bad/total/allowed)
	}
}

// alert asks for a short and a long window together: the long one shows that
// the budget is really going, the short one that it still is.
func alert(r []rate) string {
	o := func(i int, limit float64) bool { return r[i].Burn >= limit && r[i].Total >= least }
	switch {
	case o(0, fastBurn) && o(2, fastBurn):
		return Fast
	case o(1, slowBurn) && o(3, slowBurn):
		return Slow
	default:
		return ""
	}
}

func (b *builder) accounts() []share {
	w := Windows[len(Windows)-1]
	var r []share
	for _, a := range b.config.Accounts {
		t := b.sum(scope{account: a.Name}, w)
		r = append(r, share{
			Account: a.Name, Answered: t.Answered, Left: t.Left, Failed: t.Failed, Inside: t.Inside, OverRate: t.OverRate,
			Wrongful: b.wrongfulOf(a.Name, w),
		})
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Account < r[j].Account })
	return r
}
