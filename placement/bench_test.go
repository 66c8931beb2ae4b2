package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
)

// BenchmarkPlacement measures CountArrival, Acquire and Release of one request, by the
// number of backend servers of the service.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{12, 40, 120} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &placement.Placement{
				Clock: clockwork.NewRealClock(), Region: "region-0", RemoteWeight: 0.15,
				ColdCapacity: func(string) (float64, time.Duration) { return 10, 3 * time.Second },
				ColdRate:     &coldrate.Coldrate{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 2, Slack: 5},
			}
			var l []backend.Backend
			for i := range n {
				l = append(l, backend.Backend{
					Name: fmt.Sprint("server-", i), Service: "listings", Region: fmt.Sprint("region-", i%3), Slots: 4,
				})
			}
			p.Set(l, func(string) time.Time { return time.Time{} })
			for i := range b.N {
				r := &request.Request{
					ID: fmt.Sprint(i), Object: fmt.Sprint(i % 200), Route: "view",
					Service: service.Service{Name: "listings"}, AttemptedBackends: new(attempted.Attempted),
				}
				p.CountArrival(r)
				if v, ok, _ := p.Acquire(r); ok {
					p.Release(v.Name, r, result.Succeeded)
				}
			}
		})
	}
}
