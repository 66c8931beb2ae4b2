// Package demand collects the request rates that hosts report.
package demand

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/division"
)

// Demand holds the newest reports of all hosts.
type Demand struct {
	// Clock determines the age of reports.
	Clock clockwork.Clock
	// Hold is the age beyond which a report is ignored.
	Hold time.Duration
	// Account returns the limits in force.
	Account func(name string) (account.Account, bool)

	mu      sync.Mutex
	reports map[string]report
}

type report struct {
	at    time.Time
	rates map[string]float64
}

// Record stores the report of a host: requests per second by account.
func (d *Demand) Record(host string, rates map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports == nil {
		d.reports = make(map[string]report)
	}
	d.reports[host] = report{at: d.Clock.Now(), rates: rates}
}

// Fractions returns, by limit and host name, how much each host requests of
// each account's rate, as a fraction of that rate.
func (d *Demand) Fractions() map[string]map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := make(map[string]map[string]float64)
	for h, v := range d.reports {
		if d.Clock.Since(v.at) > d.Hold {
			delete(d.reports, h)
			continue
		}
		for n, f := range v.rates {
			a, ok := d.Account(n)
			if !ok || a.Rate <= 0 {
				continue
			}
			l := division.RatePrefix + n
			if r[l] == nil {
				r[l] = make(map[string]float64)
			}
			r[l][h] = f / a.Rate
		}
	}
	return r
}

// ForHost returns the newest report of a host.
func (d *Demand) ForHost(host string) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports[host].rates
}
