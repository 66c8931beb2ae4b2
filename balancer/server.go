package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/warmup"
)

// Reasons for the values are in docs/decisions/0021-balancer.md.
const (
	smoothing = 0.1
	// maxWeight bounds how much a speed or a hint counts against free slots.
	maxWeight = 4.0
	// reportFor is how long a report of load counts.
	reportFor = 3 * time.Second
	// signFor is how long one sign of a drain counts; probes renew it.
	signFor = 10 * time.Second
	// recent is how long an answered request counts against a bad probe.
	recent        = 5 * time.Second
	consecutive   = 5
	ejectFor      = 5 * time.Second
	ejectFraction = 0.5
	claimDivisor  = 8
	awayFor       = time.Second
	maxAway       = 8 * time.Second
	maxDoublings  = 3
	// shedFor doubles up to 1.28 s while a backend server sheds.
	shedFor          = 10 * time.Millisecond
	maxShedDoublings = 7
	minLinger        = 5 * time.Millisecond
	maxLinger        = 250 * time.Millisecond
	lingerDecay      = 50
)

// server is what this host knows of one backend server.
type server struct {
	backend backend.Backend
	// index is its place in the configuration, -1 when it is not there.
	index   int
	removed bool
	busy    int
	lent    int
	hold    float64
	warm    warmup.Warmup
	// linger is how long a slot stays taken after a request was cut short.
	linger   time.Duration
	load     float64
	reported time.Time
	// failing tells that the last answer was an error of the backend server.
	failing   bool
	succeeded time.Time
	sick      time.Time
	// claimed is when its health endpoint last claimed a drain.
	claimed  time.Time
	away     time.Time
	refusals int
	sheds    int
	// leaving is until when a sign of its own keeps new work away.
	leaving time.Time
	// signs counts the drains that answers announced without one in between
	// that did not; each lasts longer.
	signs  int
	signed time.Time
	sign   string
}

// drain is a drain that has ended.
type drain struct {
	name string
	sign string
	took time.Duration
}

// closed reports whether a drain keeps new work away.
func (s *server) closed(now time.Time) bool {
	return s.backend.Draining || s.leaving.After(now)
}

// leave keeps new work away until t. Whoever comes back then is cold.
func (s *server) leave(t time.Time) {
	s.leaving = t
	s.warm.Began = t
}

// drained returns the drain that the end of the last request completed.
func (s *server) drained(now time.Time) *drain {
	if s.sign == "" || s.busy > 0 {
		return nil
	}
	d := &drain{name: s.backend.Name, sign: s.sign, took: now.Sub(s.signed)}
	s.sign = ""
	return d
}

func (s *server) report(r loadreport.Loadreport, now time.Time) {
	if r.Known {
		s.load = r.Load
		s.reported = now
	}
}

// unhealthy reports whether the health endpoint complains and no request has
// been answered lately that says otherwise.
func (s *server) unhealthy(now time.Time) bool {
	return now.Sub(s.claimed) < recent || now.Sub(s.sick) < recent && now.Sub(s.succeeded) > recent
}
