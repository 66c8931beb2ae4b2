package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/responsecopier"
)

// drainTime is how long after a host relayed a response that states that a backend server
// leaves its callers' new requests may still reach that backend server.
const drainTime = 2500 * time.Millisecond

// departure is a fake backend server's shutdown.
type departure struct {
	states  bool                 // its responses state that it leaves
	refuses bool                 // it refuses all requests
	relayed map[string]time.Time // when each host first relayed this
	excess  string               // the first request that should not have arrived
}

// call is the end of one request of a caller.
type call struct {
	id         string
	host       string
	sent       time.Time
	took       time.Duration
	outcome    string
	message    string
	retryAfter time.Duration
	left       bool // the caller left
}

func saysLeaving(h http.Header) bool { return h.Get(leavingHeader) != "" }

// answer writes what a response of a leaving backend server has.
func (d departure) answer(w http.ResponseWriter) {
	if d.states {
		w.Header().Set(leavingHeader, "1")
	}
	if d.refuses {
		w.Header().Set(responsecopier.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// markRelayed records that a host relayed a response.
func (d *departure) markRelayed(host string, h http.Header) {
	if _, ok := d.relayed[host]; !ok && d.states && saysLeaving(h) {
		d.relayed[host] = clock.Now()
	}
}

// countArrival records a request that should not have arrived.
func (d *departure) countArrival(name string, h http.Header) {
	n, err := strconv.ParseInt(h.Get(sentHeader), 10, 64)
	if err != nil {
		panic(err) // the test wrote it
	}
	t, ok := d.relayed[h.Get(hostHeader)]
	if late := time.Unix(0, n).Sub(t); ok && late > drainTime && d.excess == "" {
		d.excess = fmt.Sprintf("%s got a request from %s that was sent %s after that host had relayed that it leaves", name, h.Get(hostHeader), late)
	}
}

// leavingExcess describes the first request that arrived too late after a host knew that
// the backend server leaves, empty if there is none.
func (s *server) leavingExcess() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.excess
}

// runProcessCommand runs one command for the process of a backend server:
//
//	leave NAME [refusing]  its responses state that it leaves; its entry doesn't change
//	lapse NAME             its entry is missing from the store
//	entry NAME             it writes its entry, which shows it ready, again
//	stop NAME DURATION     its process ends, and another one of that name starts after that time
//	restart NAME           another process of that name starts, and serves requests
//	move NAME REGION       it stands in another region from now on, as its entry shows
//	refused DURATION       checks that callers were refused at once during that time
//
// All others are those of runBackoffCommand.
func (w *deployment) runProcessCommand(s *server, command string, a []string) (string, error) {
	switch command {
	case "leave":
		s.leave(len(a) > 0)
	case "lapse":
		w.backends.Put(s.backend.Name, nil)
	case "entry":
		return "", w.writeEntry(s.backend)
	case "stop":
		d, err := time.ParseDuration(a[0])
		w.stopServer(s, d, false)
		return "", err
	case "restart":
		s.restart()
		return "", w.writeEntry(s.backend)
	case "move":
		s.move(a[0])
		return "", w.writeEntry(s.backend)
	default:
		return s.runBackoffCommand(command, a)
	}
	return "", nil
}

func (s *server) leave(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.states, s.leaving.refuses, s.leaving.relayed = true, refuses, make(map[string]time.Time)
}

func (s *server) move(region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movedAt, s.movedFrom = clock.Now(), s.backend.Region
	s.backend.Region, s.backend.Domain = region, region
}

// restart makes s another process, which knows nothing of the one before.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = departure{excess: s.leaving.excess}
	s.refusing, s.wanted, s.recovered, s.running = nil, make(map[string][]period), make(map[string]time.Time), make(map[string][]time.Time)
	s.backend.Started = clock.Now().UnixMilli()
}

func (w *deployment) recordCall(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.took = clock.Since(c.sent)
	w.calls = append(w.calls, c)
}

// checkRefused describes a request sent during the last d that was not refused at once,
// empty if there is none.
func (w *deployment) checkRefused(d string) (string, error) {
	u, err := time.ParseDuration(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.calls {
		if clock.Since(c.sent) >= u {
			continue
		}
		if n++; c.outcome != outcome.NoCapacity || c.took > 0 {
			return fmt.Sprintf("a request ended after %s with %s", c.took, c.outcome), err
		}
	}
	if n == 0 {
		return "no request ended", err
	}
	return "", err
}

// Guards against requests to a backend server that has stated to this host that it leaves,
// whatever its entry says, whether hosts are in touch with the store and with each other.
func TestLeavingBackend(t *testing.T) {
	for _, n := range []string{"leaving", "leaving-in-silence", "leaving-cut-off", "leaving-lapsed", "leaving-refusing"} {
		t.Run(n, func(t *testing.T) { runSeeded(t, n) })
	}
}

// Guards against a host that has to learn from a backend server itself that it leaves, with
// a request that may be lost, although another host knows.
func TestLeavingBackendIsReported(t *testing.T) { runSeeded(t, "leaving-told") }

// Guards against a backend server that restarted under its name and gets no requests,
// since the process before it left.
func TestLeavingBackendRestarts(t *testing.T) { runSeeded(t, "leaving-restarts") }

// Guards against requests that wait for a backend server although all of them leave.
func TestAllBackendsLeave(t *testing.T) { runSeeded(t, "leaving-all") }
