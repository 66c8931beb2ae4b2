// Package split deals the requests of routes to services.
package split

import (
	"sync"

	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/portion"
)

// Split deals each route's requests in the proportion of its portions' weights, as
// evenly as whole requests allow. Drawn at random, or by what they concern, the
// parts would be off by more than operators set within any few seconds.
type Split struct {
	mu  sync.Mutex
	due map[string]map[string]float64 // what services are owed, by route
}

// Next returns the service of the route's next request, empty if it has none.
func (s *Split) Next(i *ingress.Ingress) string {
	switch len(i.Portions) {
	case 0:
		return ""
	case 1:
		return i.Portions[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due == nil {
		s.due = make(map[string]map[string]float64)
	}
	d := s.due[i.Name]
	if d == nil {
		d = make(map[string]float64)
		s.due[i.Name] = d
	}
	return next(d, i.Portions)
}

// next is smooth weighted round robin: each service is owed its part of every
// request, and the one that is owed most gets this one.
func next(due map[string]float64, l []portion.Portion) string {
	t := 0.0
	for _, p := range l {
		t += p.Weight
	}
	m := l[0].Service
	for _, p := range l {
		due[p.Service] += p.Weight / t
		if due[p.Service] > due[m] {
			m = p.Service
		}
	}
	due[m]--
	return m
}
