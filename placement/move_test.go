package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
)

const objectCount = 60

// placeAll returns the backend server that a host without load chooses for each object.
func placeAll(t *rapid.T, p *placement.Placement) map[string]backend.Backend {
	m := make(map[string]backend.Backend)
	for i := range objectCount {
		r := &request.Request{
			ID: fmt.Sprint(i), Object: fmt.Sprint("object-", i), Route: "view", Priority: 2,
			Service: service.Service{Name: "listings"}, AttemptedBackends: new(attempted.Attempted),
		}
		b, ok, _ := p.Acquire(r)
		must.True(t, ok)
		p.Release(b.Name, r, result.Succeeded)
		m[r.Object] = b
	}
	return m
}

// Guards against objects that move without need, which would also send their callers to
// another region, when a backend server leaves or joins while there is no load. Only the
// objects of a backend server that leaves may move, and objects may move only to one that
// joins.
func TestServerChangeMovesOnlyItsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &placement.Placement{
			Clock: clockwork.NewFakeClock(), Region: "region-0", RemoteWeight: 0.15,
			ColdCapacity: func(string) (float64, time.Duration) { return 1, 0 },
			ColdRate:     &coldrate.Coldrate{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1, Slack: 100},
		}
		var l []backend.Backend
		for i := range rapid.IntRange(2, 12).Draw(t, "servers") {
			l = append(l, backend.Backend{
				Name: fmt.Sprint("server-", i), Service: "listings", Slots: rapid.IntRange(2, 6).Draw(t, "slots"),
				Region: fmt.Sprint("region-", rapid.IntRange(0, 2).Draw(t, "region")),
			})
		}
		warm := func(string) time.Time { return time.Time{} }
		p.Set(l, warm)
		before := placeAll(t, p)
		i := rapid.IntRange(0, len(l)-1).Draw(t, "leaves")
		gone := l[i]
		rest := append(append([]backend.Backend{}, l[:i]...), l[i+1:]...)
		p.Set(rest, warm)
		without := placeAll(t, p)
		for o, b := range before {
			if b.Name != gone.Name {
				must.EqOp(t, b.Name, without[o].Name)
			}
		}
		p.Set(l, warm)
		for o, b := range placeAll(t, p) {
			if b.Name != gone.Name {
				must.EqOp(t, without[o].Name, b.Name)
			}
		}
	})
}
