package backendsimulation

import (
	"net/http"

	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// baseline is the first version's balancer: it picks the backend server with
// the greatest fraction of free slots, by its own counts alone.
func (b *Backendsimulation) baseline() func() (slot.Slot, bool) {
	u := make(map[string]int)
	return func() (slot.Slot, bool) {
		p := -1
		m := 0.0
		for i, v := range b.backends {
			if f := float64(v.Slots-u[v.Name]) / float64(v.Slots); f > m {
				p = i
				m = f
			}
		}
		if p < 0 {
			return slot.Slot{}, false
		}
		v := b.backends[p]
		u[v.Name]++
		return slot.Slot{
			Backend:    v,
			OnResponse: func(int, http.Header) {},
			Release:    func(result.Result) { u[v.Name]-- },
		}, true
	}
}
