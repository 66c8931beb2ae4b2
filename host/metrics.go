package host

import (
	"strings"

	"celeryreach.example/celeryreach/metric"
)

// Names of the gauges, which docs/metrics.md describes.
const (
	gaugeConfig  = "ConfigVersion"
	gaugePeers   = "Peers"
	gaugeSlots   = "Slots"
	gaugeBusy    = "SlotsBusy"
	gaugeWaiting = "RequestsWaiting"
)

// publishGauges publishes the current gauge values. The names of the gauges
// begin with the host's counter prefix, without a leading "Requests.", so that
// several hosts in one process have separate gauges.
func (x *components) publishGauges() {
	p := strings.TrimPrefix(x.host.Counter.Prefix, "Requests.")
	e := func(name string, v float64) { metric.Metric{Name: p + name}.Set(v) }
	if s := x.configFollower.Snapshot(); s != nil {
		e(gaugeConfig, float64(s.Config.Version))
	}
	e(gaugePeers, float64(len(x.membership.Alive())))
	var slots, busy, waiting uint32
	for _, l := range x.serviceQueues.Loads() {
		slots += l.Slots
		busy += l.Busy
		waiting += l.Waiting
	}
	e(gaugeSlots, float64(slots))
	e(gaugeBusy, float64(busy))
	e(gaugeWaiting, float64(waiting))
}
