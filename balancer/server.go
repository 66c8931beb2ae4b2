package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/warmup"
)

// The values are explained in docs/decisions/0021-balancer.md.
const (
	smoothing = 0.1
	// maxScoreFactor bounds the effect of speed and health on the score,
	// relative to free slots.
	maxScoreFactor = 4.0
	// loadReportValidity is how long a load report is used.
	loadReportValidity = 3 * time.Second
	// drainSignValidity is how long one sign of a drain counts; probes renew it.
	drainSignValidity = 10 * time.Second
	// recentWindow is how long a successful request and an unfavorable probe
	// count. A successful request overrides an unhealthy probe.
	recentWindow       = 5 * time.Second
	ejectAfterFailures = 5
	ejectTime          = 5 * time.Second
	maxEjectedFraction = 0.5
	probeDrainDivisor  = 8
	refusedBackoff     = time.Second
	maxRefusedBackoff  = 8 * time.Second
	maxDoublings       = 3
	// shedBackoff doubles up to 1.28 s while a backend server sheds requests.
	shedBackoff       = 10 * time.Millisecond
	maxShedDoublings  = 7
	minReleaseDelay   = 5 * time.Millisecond
	maxReleaseDelay   = 250 * time.Millisecond
	releaseDelayDecay = 50
)

// server is the state of one backend server as observed by this host.
type server struct {
	backend backend.Backend
	// index is the position in the configuration, -1 if it is not listed.
	index    int
	removed  bool
	busy     int
	lent     int
	meanHold float64
	warmup   warmup.Warmup
	// releaseDelay is how long a slot stays occupied after its request was
	// aborted.
	releaseDelay time.Duration
	reportedLoad float64
	reportedAt   time.Time
	// lastAnswerFailed is true if the last answer was a server error.
	lastAnswerFailed bool
	succeededAt      time.Time
	unhealthyAt      time.Time
	// drainClaimedAt is when the health endpoint last reported a drain.
	drainClaimedAt time.Time
	// avoidUntil is the end of the exclusion after refused connections or shed
	// requests.
	avoidUntil time.Time
	refusals   int
	sheds      int
	// drainUntil is until when a drain announced by the backend server keeps new
	// requests away.
	drainUntil time.Time
	// answerDrains counts successive drains that answers announced, without an
	// answer in between that announced none; each lasts longer.
	answerDrains int
	drainBegan   time.Time
	// drainSign is the first sign of the drain in progress, empty if there is
	// none.
	drainSign string
}

// drain is a drain that has ended.
type drain struct {
	name string
	sign string
	took time.Duration
}

// isDraining reports whether a drain keeps new requests away.
func (s *server) isDraining(now time.Time) bool {
	return s.backend.Draining || s.drainUntil.After(now)
}

// extendDrain keeps new requests away until t. The backend server is considered
// cold from then on.
func (s *server) extendDrain(t time.Time) {
	s.drainUntil = t
	s.warmup.StartedAt = t
}

// completeDrain ends the drain in progress and returns it, nil if there is none
// or requests are still in flight.
func (s *server) completeDrain(now time.Time) *drain {
	if s.drainSign == "" || s.busy > 0 {
		return nil
	}
	d := &drain{name: s.backend.Name, sign: s.drainSign, took: now.Sub(s.drainBegan)}
	s.drainSign = ""
	return d
}

func (s *server) recordLoad(r loadreport.Loadreport, now time.Time) {
	if r.Known {
		s.reportedLoad = r.Load
		s.reportedAt = now
	}
}

// unhealthy reports whether the health endpoint recently reported a drain, or a
// problem that no recent successful request contradicts.
func (s *server) unhealthy(now time.Time) bool {
	return now.Sub(s.drainClaimedAt) < recentWindow || now.Sub(s.unhealthyAt) < recentWindow && now.Sub(s.succeededAt) > recentWindow
}
