package placementsimulation

import (
	"time"

	"celeryreach.example/celeryreach/request"
)

// server is one simulated backend server.
type server struct {
	index    int
	name     string
	running  int
	waiting  []*simulatedRequest
	cached   []int // objects, the most recently used one last
	slowdown float64
	down     bool
	restarts int
}

// simulatedRequest is one request of the simulation.
type simulatedRequest struct {
	request    *request.Request
	restricted bool
	host       int
	object     int
	arrivedAt  time.Duration
	workFactor float64
	window     *windowCounts
}

// crash drops all requests and cached objects of the server.
func (s *server) crash() {
	for _, v := range s.waiting {
		v.window.failed++
	}
	s.running, s.waiting, s.cached = 0, nil, nil
	s.restarts++
}

// accessObject reports whether an object is cached, and caches it as the most recently
// used one.
func (s *server) accessObject(object int) bool {
	ok := false
	for i, o := range s.cached {
		if o == object {
			s.cached = append(s.cached[:i], s.cached[i+1:]...)
			ok = true
			break
		}
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
	return ok
}
