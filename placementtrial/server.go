package placementtrial

import (
	"time"

	"celeryreach.example/celeryreach/request"
)

// server is one backend server.
type server struct {
	index   int
	name    string
	running int
	waiting []*visit
	known   []int // objects, the one worked on last at the end
	slow    float64
	down    bool
	life    int
}

// visit is a request at a backend server.
type visit struct {
	request *request.Request
	bound   bool
	host    int
	object  int
	began   time.Duration
	factor  float64
	bucket  *bucketCount
}

// crash loses all requests and all that was known.
func (s *server) crash() {
	for _, v := range s.waiting {
		v.bucket.failed++
	}
	s.running, s.waiting, s.known = 0, nil, nil
	s.life++
}

// knows reports whether the backend server has lately worked on an object, and
// remembers that it does now.
func (s *server) knows(object int) bool {
	ok := false
	for i, o := range s.known {
		if o == object {
			s.known = append(s.known[:i], s.known[i+1:]...)
			ok = true
			break
		}
	}
	s.known = append(s.known, object)
	if len(s.known) > keeps {
		s.known = s.known[1:]
	}
	return ok
}
