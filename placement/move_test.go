package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/tried"
)

const movedObjects = 60

// places returns where a calm host sends the requests of each object.
func places(t *rapid.T, p *placement.Placement) map[string]backend.Backend {
	m := make(map[string]backend.Backend)
	for i := range movedObjects {
		r := &request.Request{
			ID: fmt.Sprint(i), Object: fmt.Sprint("object-", i), Route: "view", Priority: 2,
			Service: service.Service{Name: "listings"}, Tried: new(tried.Tried),
		}
		b, ok, _ := p.Take(r)
		must.True(t, ok)
		p.Release(b.Name, r, result.Succeeded)
		m[r.Object] = b
	}
	return m
}

// Backend servers of three regions leave and join, one at a time, while all is calm.
// One that leaves takes its own objects with it and moves no other, and one that
// joins gets objects from others and moves none between them. So no more callers
// change the region that serves them than the change itself makes necessary.
func TestOneBackendServerMovesItsOwnObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &placement.Placement{
			Clock: clockwork.NewFakeClock(), Region: "region-0", Far: 0.15,
			Rate: func(string) (float64, time.Duration) { return 1, 0 },
			Pace: &coldpace.Coldpace{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1, Slack: 100},
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
		before := places(t, p)
		i := rapid.IntRange(0, len(l)-1).Draw(t, "leaves")
		gone := l[i]
		rest := append(append([]backend.Backend{}, l[:i]...), l[i+1:]...)
		p.Set(rest, warm)
		without := places(t, p)
		for o, b := range before {
			if b.Name != gone.Name {
				must.EqOp(t, b.Name, without[o].Name)
			}
		}
		p.Set(l, warm)
		for o, b := range places(t, p) {
			if b.Name != gone.Name {
				must.EqOp(t, without[o].Name, b.Name)
			}
		}
	})
}
