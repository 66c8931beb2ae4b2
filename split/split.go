// Package split distributes the requests of routes over services.
package split

import (
	"sync"

	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/weightedservice"
)

// Split distributes each route's requests in proportion to the weights of its
// portions, as evenly as the number of requests allows. Random or hash-based
// selection would be too uneven: within a few seconds, the numbers of requests
// that the services receive would deviate too far from the weights that
// operators set.
type Split struct {
	mu      sync.Mutex
	credits map[string]map[string]float64 // by route and service
}

// Next returns the service for the route's next request, or an empty string if
// the route has none.
func (s *Split) Next(i *ingress.Ingress) string {
	switch len(i.Portions) {
	case 0:
		return ""
	case 1:
		return i.Portions[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits = make(map[string]map[string]float64)
	}
	d := s.credits[i.Name]
	if d == nil {
		d = make(map[string]float64)
		s.credits[i.Name] = d
	}
	return nextService(d, i.Portions)
}

// nextService implements smooth weighted round robin. Each request adds every
// service's fraction to its credit; the service with the highest credit gets
// the request, and its credit is reduced by 1.
func nextService(credits map[string]float64, l []weightedservice.Weightedservice) string {
	t := 0.0
	for _, p := range l {
		t += p.Weight
	}
	m := l[0].Service
	for _, p := range l {
		credits[p.Service] += p.Weight / t
		if credits[p.Service] > credits[m] {
			m = p.Service
		}
	}
	credits[m]--
	return m
}
