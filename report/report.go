// Package report compares the counts of all hosts with the service-level
// objectives.
package report

import (
	"time"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/hostcounts"
)

// Names of the objectives that have an error budget.
const (
	Latency         = "Latency"
	Complete        = "Whole"
	WrongfulRefusal = "Wrongful"
)

// Values of Alert.
const (
	// Fast means that a monthly budget would be used up in two days.
	Fast = "fast"
	// Slow means that a monthly budget would be used up in five days.
	Slow = "slow"
)

// Windows lists the windows over which burn rates are computed, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	fastBurnRate = 14.4
	slowBurnRate = 6
	// minAlertRequests is the number of requests that a window needs for an
	// alert: one failure in three requests gives no meaningful burn rate.
	minAlertRequests = 20
	// maxBurnRate limits the reported burn rate. It is also the burn rate of a
	// budget of zero.
	maxBurnRate = 1000
)

// Report is the burn report.
type Report struct {
	// At is the time at which the report was built.
	At time.Time
	// Hosts lists the hosts that responded.
	Hosts []string
	// Silent maps each host that did not respond to the error. The counts of
	// these hosts are missing.
	Silent map[string]string
	// Replaced lists processes that no longer run and whose counts were stored
	// on the platform.
	Replaced []string
	// Unkept is the error that occurred while reading the counts stored on the
	// platform, if any.
	Unkept string `json:",omitzero"`
	// Alerts lists the budgets whose burn rate is too high.
	Alerts []string
	// Budgets holds the error budgets by service, account and region.
	Budgets []budget
	// Worst holds the worst-served client account of each service.
	Worst []worstAccount
	// Headroom holds the fraction of free slots by service and region.
	Headroom []headroom
	// Drains lists the completed drains.
	Drains []drain
	// Latencies holds the latency percentiles of the last hour by service.
	Latencies []latency
	// Accounts summarizes each client account over the longest window.
	Accounts []accountSummary
	// Minutes holds the burn rates of each minute, for plots.
	Minutes []burnPoint
}

// budget is one error budget. An empty Account or Region means all.
type budget struct {
	Service, Account, Region string
	Objective                string
	Target                   float64
	Rates                    []windowRate
	Alert                    string `json:",omitzero"`
}

// windowRate is the burn rate in one window. At a rate of 1, the budget is used
// up exactly.
type windowRate struct {
	Window time.Duration
	Total  uint64
	Bad    uint64
	Burn   float64
}

// worstAccount is the client account with the smallest fraction of complete
// answers among its requests that were within its rate and whose callers waited.
type worstAccount struct {
	Service, Account string
	Served, Target   float64
	Met              bool
}

type headroom struct {
	Service, Region string
	Free, Target    float64
	Met             bool
}

type drain struct {
	Backend, Host string
	At            time.Time
	Took, Target  time.Duration
	Met           bool
}

type latency struct {
	Service             string
	Answers             int64
	P50, P90, P99, P999 time.Duration
	Target              time.Duration
	TargetFraction      float64
}

// accountSummary holds the totals of one account. Wrongful is the part of
// OverRate that was within the account's rate.
type accountSummary struct {
	Account                                            string
	Answered, Left, Failed, Inside, OverRate, Wrongful uint64
}

// burnPoint is the burn rate of a service in one minute.
type burnPoint struct {
	Minute  int64
	Service string
	Burn    float64
}

// Build computes the report from the counts of all hosts. The objectives and
// rates are taken from c.
func Build(c *config.Config, all []hostcounts.Hostcounts, now time.Time) *Report {
	b := newBuilder(c, all, now)
	r := &Report{At: now.UTC(), Silent: make(map[string]string)}
	for _, o := range c.Objectives {
		b.addBudgets(r, o)
		r.Worst = append(r.Worst, b.worstServed(o)...)
		r.Headroom = append(r.Headroom, b.headroom(o)...)
		r.Latencies = append(r.Latencies, b.latency(o)...)
		r.Minutes = append(r.Minutes, b.burnByMinute(o)...)
	}
	r.Drains = b.drains()
	r.Accounts = b.accountSummaries()
	for _, v := range r.Budgets {
		if v.Alert != "" {
			r.Alerts = append(r.Alerts, v.Alert+": "+v.description())
		}
	}
	return r
}

func (b budget) description() string {
	n := b.Objective + " of " + b.Service
	if b.Account != "" {
		n += " for " + b.Account
	}
	if b.Region != "" {
		n += " in " + b.Region
	}
	return n
}
