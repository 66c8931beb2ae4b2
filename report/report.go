// Package report compares what all hosts have counted with the service-level
// objectives.
package report

import (
	"time"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/sums"
)

// Names of the objectives that have an error budget.
const (
	Latency  = "Latency"
	Whole    = "Whole"
	Wrongful = "Wrongful"
)

// Values of Alert.
const (
	// Fast says that the budget of a month would be gone in two days.
	Fast = "fast"
	// Slow says that it would be gone in five days.
	Slow = "slow"
)

// Windows are the times over which budgets are compared, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	fastBurn = 14.4
	slowBurn = 6
	// least is how many requests a window needs for an alert: one failure of
	// three requests is no burn rate.
	least = 20
	// endless stands for a burn of a budget of zero.
	endless = 1000
)

// Report is the burn report.
type Report struct {
	// At is when it was made.
	At time.Time
	// Hosts are the hosts that answered.
	Hosts []string
	// Silent are the hosts that did not answer, and why. Their counts are
	// missing.
	Silent map[string]string
	// Replaced are processes that no longer run, whose counts the platform
	// has kept.
	Replaced []string
	// Unkept says why the platform's counts are missing.
	Unkept string `json:",omitzero"`
	// Alerts name the budgets that burn too fast.
	Alerts []string
	// Budgets are the error budgets by service, by account and by region.
	Budgets []budget
	// Worst are the worst-served client accounts.
	Worst []worst
	// Headroom are the free slots.
	Headroom []headroom
	// Drains are the drains that ended.
	Drains []drain
	// Latencies are percentiles over the last hour.
	Latencies []latency
	// Accounts sum up the client accounts over the longest window.
	Accounts []share
	// Minutes are the burn rates minute by minute, for plots.
	Minutes []point
}

// budget is one error budget. An empty Account or Region means all.
type budget struct {
	Service, Account, Region string
	Objective                string
	Target                   float64
	Rates                    []rate
	Alert                    string `json:",omitzero"`
}

// rate is what one window has burnt: 1 uses the budget up exactly.
type rate struct {
	Window time.Duration
	Total  uint64
	Bad    uint64
	Burn   float64
}

// worst is the client account that got the least of its due: of the requests
// inside its rate whose callers waited, the part that was answered whole.
type worst struct {
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

// share sums up one account. Of the refusals over the rate, Wrongful were
// inside it.
type share struct {
	Account                                            string
	Answered, Left, Failed, Inside, OverRate, Wrongful uint64
}

type point struct {
	Minute  int64
	Service string
	Burn    float64
}

// Build makes the report. The configuration holds objectives and rates.
func Build(c *config.Config, all []sums.Sums, now time.Time) *Report {
	b := newBuilder(c, all, now)
	r := &Report{At: now.UTC(), Silent: make(map[string]string)}
	for _, o := range c.Objectives {
		b.budgets(r, o)
		r.Worst = append(r.Worst, b.worst(o)...)
		r.Headroom = append(r.Headroom, b.headroom(o)...)
		r.Latencies = append(r.Latencies, b.latency(o)...)
		r.Minutes = append(r.Minutes, b.minutes(o)...)
	}
	r.Drains = b.drains()
	r.Accounts = b.accounts()
	for _, v := range r.Budgets {
		if v.Alert != "" {
			r.Alerts = append(r.Alerts, v.Alert+": "+v.name())
		}
	}
	return r
}

func (b budget) name() string {
	n := b.Objective + " of " + b.Service
	if b.Account != "" {
		n += " for " + b.Account
	}
	if b.Region != "" {
		n += " in " + b.Region
	}
	return n
}
