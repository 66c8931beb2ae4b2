package edge_test

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/upstream"
)

const (
	backoffHeader = "Retry-After"
	// A host may send maxInBackoff requests to a backend server between
	// backoffGracePeriod after a refusal and the end of the time that it states.
	maxInBackoff       = 2
	backoffGracePeriod = 500 * time.Millisecond
	// A refused caller may be told up to maxDelayFactor times the time to the end of the
	// first backoff, plus maxExtraDelay.
	maxDelayFactor = 1.3
	maxExtraDelay  = 300 * time.Millisecond
)

// refusing is the state of a backend server that refuses requests.
type refusing struct {
	value    string // of the header Retry-After; plain for no header
	unproven bool   // its refusals seem to belong to other requests
}

// period is a time for which a backend server wants no requests from a host.
type period struct {
	from, to time.Time
}

// refusal is a request that was refused to its caller without having run.
type refusal struct {
	host     string
	at       time.Time
	took     time.Duration
	told     time.Duration
	unplaced bool // it was sent to no backend server
}

// runBackoffCommand runs one command for backend servers that refuse requests:
//
//	refuse NAME VALUE [unproven] it refuses requests and states this time: seconds, date+SECONDS, date-SECONDS or plain for none
//	accept NAME                  it serves requests again
//	stalls NAME DURATION         it breaks the connections of requests after that time; 0s serves them again
//	probes NAME                  checks that no host sent requests at the same time between the end of a backoff and its first answer
//	backoffs kept                checks that no backend server received requests that it does not want
//	told LEAST                   checks that so many refused callers were told a true time, since the last check
func (s *server) runBackoffCommand(command string, a []string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch command {
	case "refuse":
		s.refusing = &refusing{value: a[0], unproven: len(a) > 1}
	case "accept":
		s.refusing = nil
	case "stalls":
		d, err := time.ParseDuration(a[0])
		s.stalls = d
		return "", err
	case "probes":
		return s.concurrent, nil
	default:
		return "", errors.Errorf("no such command: %s", command)
	}
	return "", nil
}

// refuse refuses a request and records until when the backend server wants no more from
// its host.
func (s *server) refuse(w http.ResponseWriter, f refusing, host, id string) {
	n := clock.Now()
	v, d := f.value, math.NaN()
	switch {
	case strings.HasPrefix(v, "date"):
		d, _ = strconv.ParseFloat(strings.TrimPrefix(v, "date"), 64) // zero for a script's mistake
		v = n.Add(time.Duration(d * float64(time.Second))).UTC().Format(http.TimeFormat)
	case v != "plain":
		if x, err := strconv.ParseFloat(v, 64); err == nil {
			d = x
		}
	}
	if d >= 0 && !math.IsInf(d, 1) {
		s.mu.Lock()
		s.wanted[host] = append(s.wanted[host], period{from: n, to: n.Add(time.Duration(d * float64(time.Second)))})
		s.mu.Unlock()
	}
	w.Header().Set(upstream.IDHeader, id)
	w.Header().Set(responsecopier.NotRunHeader, "1")
	if f.unproven {
		w.Header().Set(upstream.IDHeader, "another")
	}
	if v != "plain" {
		w.Header().Set(backoffHeader, v)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordStart records a request of a host that has arrived. The caller holds the lock.
func (s *server) recordStart(host string) {
	n := clock.Now()
	s.arrivals = append(s.arrivals, arrival{at: n, host: host})
	e := s.backoffEnd(host)
	if e.IsZero() || n.Before(e) || s.recovered[host].After(e) {
		return
	}
	l := slices.DeleteFunc(s.running[host], func(t time.Time) bool { return t.Before(e) })
	if len(l) > 0 && s.concurrent == "" {
		s.concurrent = fmt.Sprintf("%s got two requests of %s at the same time, %s after the end of its backoff", s.backend.Name, host, n.Sub(e))
	}
	s.running[host] = append(l, n)
}

// recordEnd records that a request of a host, which arrived at the given time, has ended.
func (s *server) recordEnd(host string, arrived time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.running[host], arrived); i >= 0 {
		s.running[host] = slices.Delete(s.running[host], i, i+1)
	}
	if served && !arrived.Before(s.backoffEnd(host)) {
		s.recovered[host] = clock.Now()
	}
}

// backoffEnd returns the latest end of the times for which the backend server wants no
// requests from a host. The caller holds the lock.
func (s *server) backoffEnd(host string) time.Time {
	var e time.Time
	for _, p := range s.wanted[host] {
		if p.to.After(e) {
			e = p.to
		}
	}
	return e
}

// backoffExcess describes a time in which a host sent more requests than the backend
// server wanted, empty if there is none.
func (s *server) backoffExcess() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, l := range s.wanted {
		for _, p := range l {
			n := 0
			for _, a := range s.arrivals {
				if a.host == h && !a.at.Before(p.from.Add(backoffGracePeriod)) && a.at.Before(p.to) {
					n++
				}
			}
			if n > maxInBackoff {
				return fmt.Sprintf("%s got %d requests of %s within the %s for which it wanted none", s.backend.Name, n, h, p.to.Sub(p.from))
			}
		}
	}
	return ""
}

// recordRefusal records a request that was refused to its caller.
func (w *deployment) recordRefusal(host string, began time.Time, o outcome.Outcome, attempts int) {
	if o.Outcome != outcome.NoCapacity {
		return
	}
	n := clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals = append(w.refusals, refusal{host: host, at: n, took: n.Sub(began), told: o.RetryAfter, unplaced: attempts == 0})
}

// checkRefusals returns a description of a refusal that came late or told a wrong time
// while no backend server wanted requests of its host. least is the least number of such
// refusals.
func (w *deployment) checkRefusals(least int) string {
	w.mu.Lock()
	l := w.refusals
	w.refusals = nil
	w.mu.Unlock()
	n := 0
	for _, r := range l {
		d := w.untilWanted(r.host, r.at)
		if d <= 0 {
			continue
		}
		n++
		switch {
		case r.unplaced && r.took > 0 && w.untilWanted(r.host, r.at.Add(-r.took)) > 0:
			return fmt.Sprintf("a caller of %s was refused after %s", r.host, r.took)
		case r.told < d:
			return fmt.Sprintf("a caller of %s was told to come back after %s, and no backend server wants requests for %s", r.host, r.told, d)
		case r.told > time.Duration(float64(d)*maxDelayFactor)+maxExtraDelay:
			return fmt.Sprintf("a caller of %s was told to come back only after %s, and a backend server wants requests in %s", r.host, r.told, d)
		}
	}
	if n < least {
		return fmt.Sprintf("%d refusals while no backend server wants requests", n)
	}
	return ""
}

// untilWanted returns the time from a point in time until the first backend server wants
// requests of a host, zero or less if one does or if its refusal may be on its way.
func (w *deployment) untilWanted(host string, at time.Time) time.Duration {
	d := time.Duration(math.MaxInt64)
	for _, s := range w.servers {
		s.mu.Lock()
		var e time.Time
		for _, p := range s.wanted[host] {
			if !p.from.Add(w.network.latency).After(at) && p.to.After(e) {
				e = p.to
			}
		}
		s.mu.Unlock()
		d = min(d, e.Sub(at))
	}
	return d
}

// Guards against a backend server that refuses requests, states for how long it wants no
// more from a host, and receives them all the same.
func TestBackoff(t *testing.T) { runSeeded(t, "backoff") }

// Guards against second and hedged tries that are sent to a backend server that wants no
// requests.
func TestBackoffCoversRetries(t *testing.T) { runSeeded(t, "backoff-second-tries") }

// Guards against requests that net/http sends again on another connection of a backend
// server that wants none.
func TestBackoffCoversTransportRetries(t *testing.T) { runSeeded(t, "backoff-breaks") }

// Guards against requests that waited for a permit and are sent although the backend
// server has come to want none.
func TestBackoffCoversRequestsWithPermits(t *testing.T) { runSeeded(t, "backoff-silence") }

// Guards against callers that wait, or that are told a wrong time, when no backend server
// wants requests.
func TestBackoffOfAllBackends(t *testing.T) { runSeeded(t, "backoff-everywhere") }

// Guards against a backoff that ends a limit, or a limit that ends a backoff.
func TestBackoffWithLimit(t *testing.T) { runSeeded(t, "backoff-limit") }

// Guards against a backend server that restarts under its name and gets no requests, and
// against one whose entry lapses and that gets them too early.
func TestBackoffOfRestartedBackend(t *testing.T) { runSeeded(t, "backoff-restart") }

// Guards against a short time that replaces a long one, and against values that are no
// time and change something.
func TestBackoffValues(t *testing.T) { runSeeded(t, "backoff-values") }

// Guards against all waiting requests of a host being sent at the end of a backoff.
func TestBackoffEndsGradually(t *testing.T) { runSeeded(t, "backoff-end") }
