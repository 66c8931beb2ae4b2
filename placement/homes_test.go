package placement_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/placement"
)

// Guards against a request with homes that is sent to whoever has the address of the
// backend server that was chosen for it.
func TestStandsIn(t *testing.T) {
	b := backend.Backend{Name: "c1", Region: "lagos", Address: "10.1.0.1:80", Started: 1}
	with := func(f func(v *backend.Backend)) backend.Backend {
		v := b
		f(&v)
		return v
	}
	for _, v := range []struct {
		name   string
		list   []backend.Backend
		homes  homes.Homes
		stands bool
	}{
		{"listed", []backend.Backend{b}, homes.Intersect([]string{"lagos"}), true},
		{"no home", []backend.Backend{b}, homes.Intersect([]string{"abuja"}), false},
		{"no homes left", []backend.Backend{b}, homes.Homes{Bound: true}, false},
		{"dropped, no homes", nil, homes.Homes{}, true},
		{"dropped", nil, homes.Intersect([]string{"lagos"}), false},
		{"moved", []backend.Backend{with(func(v *backend.Backend) { v.Region = "abuja" })}, homes.Intersect([]string{"lagos"}), false},
		{"moved to another home", []backend.Backend{with(func(v *backend.Backend) { v.Region = "abuja" })}, homes.Intersect([]string{"lagos", "abuja"}), true},
		{"other address", []backend.Backend{with(func(v *backend.Backend) { v.Address = "10.1.0.2:80" })}, homes.Intersect([]string{"lagos"}), false},
		{"other process", []backend.Backend{with(func(v *backend.Backend) { v.Started = 2 })}, homes.Intersect([]string{"lagos"}), false},
		{"address used again elsewhere", []backend.Backend{b, with(func(v *backend.Backend) { v.Name, v.Region = "c2", "abuja" })}, homes.Intersect([]string{"lagos"}), false},
		{"older entry elsewhere", []backend.Backend{b, with(func(v *backend.Backend) { v.Name, v.Region, v.Started = "c2", "abuja", -1 })}, homes.Intersect([]string{"lagos"}), true},
		{"address used again in a home", []backend.Backend{b, with(func(v *backend.Backend) { v.Name = "c2" })}, homes.Intersect([]string{"lagos"}), true},
	} {
		t.Run(v.name, func(t *testing.T) {
			p := &placement.Placement{Clock: clockwork.NewFakeClock()}
			p.Set(v.list, func(string) time.Time { return time.Time{} })
			must.EqOp(t, v.stands, p.StandsIn(b, v.homes))
		})
	}
}
