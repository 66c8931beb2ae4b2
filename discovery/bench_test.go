package discovery_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/wire"
)

const (
	// benchBackends is the number of backend servers of all services in the list.
	benchBackends = 40
	benchStart    = 1_790_000_000_000
)

// BenchmarkLeaving measures the bytes that each leaving backend server adds to a
// heartbeat, and the time of a response of one that is known to leave.
func BenchmarkLeaving(b *testing.B) {
	for _, n := range []int{1, 14, benchBackends} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := &discovery.Discovery{
				Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), WarmUp: func(string) time.Duration { return 0 },
				OnChange: func([]backend.Backend, func(string) time.Time) {}, Notify: func() {}, UncertainUntil: func() time.Time { return time.Time{} },
			}
			var l []backend.Backend
			for i := range benchBackends {
				l = append(l, backend.Backend{Name: fmt.Sprintf("i-%010x", i), Service: "listings", Domain: "lagos-1", Started: benchStart})
			}
			d.SetBackends(l)
			for _, v := range l[:n] {
				d.MarkLeaving(v.Name, v.Started)
			}
			s := proto.Size(&wire.Heartbeat{LeavingBackends: d.Departures()})
			for b.Loop() {
				d.MarkLeaving(l[0].Name, benchStart)
			}
			b.ReportMetric(float64(s)/float64(n), "B/backend")
		})
	}
}

// BenchmarkHeartbeatWithoutLeaving measures what the exchange of heartbeats costs while no
// backend server leaves.
func BenchmarkHeartbeatWithoutLeaving(b *testing.B) {
	d := new(discovery.Discovery)
	d.Clock = clockwork.NewRealClock()
	for b.Loop() {
		d.Merge("lagos-1", d.Departures())
	}
}
