package edge

import (
	"time"

	"celeryreach.example/celeryreach/metric"
	"celeryreach.example/celeryreach/mirror"
)

// Names of the metrics, described in docs/metrics.md.
const (
	gaugeConfigVersion    = "ConfigVersion"
	gaugeConfigStoreAge   = "StoreAge.Config"
	gaugeBackendsStoreAge = "StoreAge.Backends"
	gaugeLeaving          = "Backends.Leaving"
	gaugeUnreachable      = "Backends.Unreachable"
	gaugeLimited          = "BackendLimits.Limited"
	gaugeIgnored          = "BackendLimits.Ignored"
	gaugeBackoffs         = "BackendBackoffs.Active"
	gaugeBackoffsIgnored  = "BackendBackoffs.Ignored"
	gaugeSentMeanwhile    = "BackendBackoffs.SentMeanwhile"
	gaugeChangesUnheard   = "ChangesUnheard"
	gaugeGranted          = "Permits.Granted"
	gaugeDenied           = "Permits.Denied"
	gaugeQuarantined      = "Quarantine.Requests"
	counterRefused        = "Quarantine.Refused"
	counterHeld           = "Quarantine.Held"
	counterAllowed        = "Retries.Allowed"
	counterDenied         = "Retries.Denied"
	counterTransport      = "Retries.Transport"
)

// publishMetrics publishes the gauges of the store's age, leaving and unreachable backend
// servers, the limits and backoffs of backend servers, unreceived changes and permits.
func (e *Edge) publishMetrics() {
	metric.Metric{Name: gaugeConfigStoreAge}.SetFunc(storeAgeSeconds(e.Config))
	metric.Metric{Name: gaugeBackendsStoreAge}.SetFunc(storeAgeSeconds(e.Backends))
	metric.Metric{Name: gaugeLeaving}.SetFunc(func() any { return e.discovery.Leaving() })
	metric.Metric{Name: gaugeUnreachable}.SetFunc(e.unreachableCount)
	metric.Metric{Name: gaugeLimited}.SetFunc(func() any { return e.limits.Limited() })
	metric.Metric{Name: gaugeIgnored}.SetFunc(func() any { return e.limits.Ignored() })
	metric.Metric{Name: gaugeBackoffs}.SetFunc(func() any { return e.backoffs.Active() })
	metric.Metric{Name: gaugeBackoffsIgnored}.SetFunc(func() any { return e.backoffs.Ignored() })
	metric.Metric{Name: gaugeSentMeanwhile}.SetFunc(func() any { return e.backoffs.SentMeanwhile() })
	metric.Metric{Name: gaugeChangesUnheard}.SetFunc(func() any { return e.storeSilence.ChangesMissing() })
	metric.Metric{Name: gaugeGranted}.SetFunc(func() any { return e.permits.Granted() })
	metric.Metric{Name: gaugeQuarantined}.SetFunc(func() any { return e.quarantine.Count() })
	metric.Metric{Name: gaugeDenied}.SetFunc(func() any { return e.permits.Denied() })
}

// unreachableCount returns how many backend servers this host can't reach.
func (e *Edge) unreachableCount() any {
	_, n, _ := e.reachability.Lost()
	return n
}

// storeAgeSeconds returns a function that returns the age of the store's last response
// for a table, in seconds, or nil before the first response.
func storeAgeSeconds(m *mirror.Mirror) func() any {
	return func() any {
		d, ok := storeAge(m)
		if !ok {
			return nil
		}
		return d.Seconds()
	}
}

// storeAge returns the time since the store last responded, for this table, to this
// host or to a host that reports to it. ok is false if it never did.
func storeAge(m *mirror.Mirror) (d time.Duration, ok bool) {
	a := m.StoreFreshness.Age()
	return time.Duration(a), a > 0
}
