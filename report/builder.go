package report

import (
	"sort"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/refusalaudit"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/secondcount"
)

// builder aggregates the counts of all hosts.
type builder struct {
	config     *config.Config
	hostCounts []hostcounts.Hostcounts
	now        time.Time
	// wrongfulBySecond holds the wrongful refusals by account and Unix second.
	wrongfulBySecond map[string]map[int64]uint64
	// aggregates holds the counts by window, service, account and region. The
	// report computes its many sums from these few entries instead of from every
	// minute of every host.
	aggregates map[time.Duration]map[scope]*requestcounts.Requestcounts
}

// scope selects counts by service, account and region. An empty field matches
// all.
type scope struct {
	service, account, region string
}

func newBuilder(c *config.Config, all []hostcounts.Hostcounts, now time.Time) *builder {
	b := &builder{config: c, hostCounts: all, now: now, wrongfulBySecond: make(map[string]map[int64]uint64), aggregates: make(map[time.Duration]map[scope]*requestcounts.Requestcounts)}
	var s []secondcount.Secondcount
	for _, v := range all {
		s = append(s, v.Seconds...)
	}
	for _, a := range c.Accounts {
		b.wrongfulBySecond[a.Name] = refusalaudit.Wrongful(a, s)
	}
	for _, w := range Windows {
		b.aggregates[w] = b.aggregate(w)
	}
	return b
}

// aggregate sums the counts within the window by service, account and region.
func (b *builder) aggregate(window time.Duration) map[scope]*requestcounts.Requestcounts {
	r := make(map[scope]*requestcounts.Requestcounts)
	m := b.now.Add(-window).Unix() / 60
	for _, h := range b.hostCounts {
		for _, v := range h.Tallies {
			if v.Minute <= m {
				continue
			}
			k := scope{service: v.Service, account: v.Account, region: h.Region}
			if r[k] == nil {
				r[k] = new(requestcounts.Requestcounts)
			}
			r[k].Add(v)
		}
	}
	return r
}

// sum returns the total of all counts of a scope in a window.
func (b *builder) sum(s scope, window time.Duration) requestcounts.Requestcounts {
	var t requestcounts.Requestcounts
	for k, v := range b.aggregates[window] {
		if (s.service == "" || s.service == k.service) && (s.account == "" || s.account == k.account) && (s.region == "" || s.region == k.region) {
			t.Add(*v)
		}
	}
	return t
}

// wrongfulRefusals estimates the wrongful rate refusals in a scope. Package
// refusalaudit determines wrongful refusals by account only, because rates apply
// across all hosts and services. The wrongful refusals of an account are distributed
// among services and regions in proportion to the account's rate refusals there.
func (b *builder) wrongfulRefusals(s scope, window time.Duration) float64 {
	r := 0.0
	for _, a := range b.scopedAccounts(s) {
		w := b.accountWrongful(a.Name, window)
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

// accountWrongful returns the wrongful refusals of an account in a window.
func (b *builder) accountWrongful(account string, window time.Duration) uint64 {
	var w uint64
	m := b.now.Add(-window).Unix() / 60
	for s, n := range b.wrongfulBySecond[account] {
		if s/60 > m {
			w += n
		}
	}
	return w
}

// scopedAccounts returns the configured accounts that a scope includes.
func (b *builder) scopedAccounts(s scope) []account.Account {
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

// addBudgets adds the error budgets of one objective: for the entire
// service, for each client account and for each region.
func (b *builder) addBudgets(r *Report, o objective.Objective) {
	s := []scope{{service: o.Service}}
	for _, a := range b.config.Accounts {
		s = append(s, scope{service: o.Service, account: a.Name})
	}
	for _, g := range b.config.Regions {
		s = append(s, scope{service: o.Service, region: g.Name})
	}
	for _, v := range s {
		if b.sum(v, Windows[len(Windows)-1]) == (requestcounts.Requestcounts{}) {
			continue
		}
		r.Budgets = append(r.Budgets,
			b.budget(v, Latency, o.LatencyFraction, 1-o.LatencyFraction),
			b.budget(v, Complete, o.WholeFraction, 1-o.WholeFraction),
			b.budget(v, WrongfulRefusal, o.WrongfulFraction, o.WrongfulFraction))
	}
}

func (b *builder) budget(s scope, objective string, target, allowed float64) budget {
	r := budget{Service: s.service, Account: s.account, Region: s.region, Objective: objective, Target: target}
	for _, w := range Windows {
		t := b.sum(s, w)
		a, o := badAndTotal(objective, t, b.wrongfulRefusals(s, w))
		r.Rates = append(r.Rates, windowRate{Window: w, Total: uint64(o + 0.5), Bad: uint64(a + 0.5), Burn: burnRate(a, o, allowed)})
	}
	r.Alert = alertLevel(r.Rates)
	return r
}

// badAndTotal returns the number of requests that violate an objective and the
// number of requests that the objective applies to. Justified rate refusals are
// excluded because the account caused them. Callers that disconnected are
// excluded too, whether or not they received what they needed.
func badAndTotal(objective string, t requestcounts.Requestcounts, wrongful float64) (bad, total float64) {
	i := float64(t.Inside) + wrongful
	switch objective {
	case Latency:
		return float64(t.Answered - t.Timely), float64(t.Answered)
	case Complete:
		return float64(t.Failed) + i, float64(t.Answered+t.Failed) + i
	default:
		return i, float64(t.Answered+t.Failed) + i
	}
}

// burnRate returns the ratio of the bad fraction to the allowed fraction, at
// most maxBurnRate.
func burnRate(bad, total, allowed float64) float64 {
	switch {
	case bad <= 0 || total <= 0:
		return 0
	case allowed <= 0:
		return maxBurnRate
	default:
		return min(maxBurnRate, bad/total/allowed)
	}
}

// alertLevel returns Fast or Slow if the burn rate is high in both a short and a long
// window, and otherwise an empty string. A high rate in the long window shows that a
// relevant part of the budget has been consumed. A high rate in the short window shows
// that the budget is still being consumed.
func alertLevel(r []windowRate) string {
	o := func(i int, limit float64) bool { return r[i].Burn >= limit && r[i].Total >= minAlertRequests }
	switch {
	case o(0, fastBurnRate) && o(2, fastBurnRate):
		return Fast
	case o(1, slowBurnRate) && o(3, slowBurnRate):
		return Slow
	default:
		return ""
	}
}

// accountSummaries returns the totals of each account over the longest window.
func (b *builder) accountSummaries() []accountSummary {
	w := Windows[len(Windows)-1]
	var r []accountSummary
	for _, a := range b.config.Accounts {
		t := b.sum(scope{account: a.Name}, w)
		r = append(r, accountSummary{
			Account: a.Name, Answered: t.Answered, Left: t.Left, Failed: t.Failed, Inside: t.Inside, OverRate: t.OverRate,
			Wrongful: b.accountWrongful(a.Name, w),
		})
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Account < r[j].Account })
	return r
}
