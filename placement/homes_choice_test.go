package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
)

// Guards against requests that are placed on a backend server to which they may not be sent:
// each such try takes a permit and counts against the limits of that backend server.
func TestPlacedWhereItMayBeSent(t *testing.T) {
	p := &placement.Placement{Clock: clockwork.NewFakeClock(), ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
	p.Set([]backend.Backend{
		{Name: "c1", Region: "lagos", Address: "10.1.0.1:80", Slots: 4},
		{Name: "c2", Region: "abuja", Address: "10.1.0.1:80", Slots: 4}, // has registered the address of c1
		{Name: "c3", Region: "lagos", Address: "10.1.0.3:80", Slots: 4},
	}, func(string) time.Time { return time.Time{} })
	h := homes.Intersect([]string{"lagos"})
	for i := range 8 {
		r := &request.Request{ID: fmt.Sprint("r", i), Homes: h, AttemptedBackends: new(attempted.Attempted)}
		b, ok, _ := p.Acquire(r)
		must.True(t, ok)
		must.True(t, p.StandsIn(b, h), must.Sprintf("%s placed on %s", r.ID, b.Name))
		p.ReleaseUnsent(b.Name, r, 0)
	}
}
