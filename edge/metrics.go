package edge

import (
	"time"

	"celeryreach.example/celeryreach/metric"
	"celeryreach.example/celeryreach/mirror"
)

// Names of the gauges; docs/metrics.md describes each.
const (
	gaugeConfig        = "ConfigVersion"
	gaugeConfigStore   = "StoreAge.Config"
	gaugeBackendsStore = "StoreAge.Backends"
	gaugeLimited       = "BackendLimits.Limited"
	gaugeIgnored       = "BackendLimits.Ignored"
	gaugeUnheard       = "ChangesUnheard"
	gaugeGranted       = "Permits.Granted"
	gaugeDenied        = "Permits.Denied"
)

// publish makes the metrics show the ages of the store's last answers, the limits of
// backend servers, and permits.
func (e *Edge) publish() {
	metric.Metric{Name: gaugeConfigStore}.Follow(seconds(e.Config))
	metric.Metric{Name: gaugeBackendsStore}.Follow(seconds(e.Backends))
	metric.Metric{Name: gaugeLimited}.Follow(func() any { return e.limits.Limited() })
	metric.Metric{Name: gaugeIgnored}.Follow(func() any { return e.limits.Ignored() })
	metric.Metric{Name: gaugeUnheard}.Follow(func() any { return e.silence.Unheard() })
	metric.Metric{Name: gaugeGranted}.Follow(func() any { return e.permits.Granted() })
	metric.Metric{Name: gaugeDenied}.Follow(func() any { return e.permits.Denied() })
}

// seconds returns the age of the store's last answer on a table, nil before the
// first.
func seconds(m *mirror.Mirror) func() any {
	return func() any {
		d, ok := storeAge(m)
		if !ok {
			return nil
		}
		return d.Seconds()
	}
}

// storeAge returns how long ago the store last answered a host that this one hears
// on a table; ok is false if it never did.
func storeAge(m *mirror.Mirror) (d time.Duration, ok bool) {
	a := m.Store.Age()
	return time.Duration(a), a > 0
}
