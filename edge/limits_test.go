package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/upstream"
	"celeryreach.example/celeryreach/weightedservice"
)

const (
	callerHost     = "camps.example"
	listingPath    = "/listings/"
	enrolPath      = "/enrol/"
	homePath       = "/home/"
	homeEnrolPath  = homePath + "enrol/"
	listings       = "listings"
	objects        = 60
	requestTimeout = 2 * time.Second
	// seedCount is how many runs of a script use different random callers.
	seedCount = 2
)

// routes are the routes of every configuration in these tests.
var routes = []ingress.Ingress{{
	Name: "view", Host: callerHost, Prefix: listingPath, Timeout: requestTimeout, Objective: 400 * time.Millisecond, Priority: 2,
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Public: true, Sticky: true,
}, {
	Name: "enrol", Host: callerHost, Prefix: enrolPath, Timeout: requestTimeout, Objective: 400 * time.Millisecond, NonIdempotent: true,
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Sticky: true,
}, {
	Name: "home", Host: callerHost, Prefix: homePath, Timeout: requestTimeout, Objective: 400 * time.Millisecond, Homes: []string{"lagos"},
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Public: true, Sticky: true,
}, {
	Name: "home-enrol", Host: callerHost, Prefix: homeEnrolPath, Timeout: requestTimeout, Objective: 400 * time.Millisecond, NonIdempotent: true, Homes: []string{"lagos"},
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Sticky: true,
}, {
	Name: "long", Host: callerHost, Prefix: longPath, Timeout: longTimeout, Objective: 8 * slotWait,
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Public: true, Sticky: true,
}, {
	Name: "long-enrol", Host: callerHost, Prefix: longEnrolPath, Timeout: longTimeout, Objective: 8 * slotWait, NonIdempotent: true,
	Portions: []weightedservice.Weightedservice{{Service: listings, Weight: 1}}, Attempts: 2, Sticky: true,
}}

var services = []service.Service{{Name: listings, ColdRate: coldRate, WarmUp: warmUp}}

// runBackendCommand runs one command for backend servers and their callers, and passes
// others to runBackoffCommand:
//
//	backend NAME REGION SLOTS WORK   starts a backend server
//	work NAME DURATION               sets the duration of its requests
//	breaks NAME N                    one of N requests breaks its connection
//	limit NAME RATE                  sets its limit in requests a second; none removes it
//	lies NAME VALUE                  it states an invalid limit; the previous limit stays in force
//	load RATE [HOST...]              callers request listings at this rate per second from these hosts or all
//	arrive NAME LEAST MOST DURATION  checks the requests per second that it received in that time
//	limits kept                      checks that no backend server received more than its limit or a cold one allows
//	cold NAME                        it turns cold without updating its entry
//	cold-entry NAME                  its entry in the store shows that it is cold
//
// runProcessCommand has the commands for backend servers that leave, and runLinkCommand
// those for links.
func (w *deployment) runBackendCommand(command string, a []string) (string, error) {
	switch command {
	case "backend":
		return "", w.startServer(a)
	case "load":
		r, err := strconv.ParseFloat(a[0], 64)
		w.startCallers(r, a[1:])
		return "", err
	case "limits", "backoffs":
		return w.excess(), nil
	case "refused":
		return w.checkRefused(a[0])
	case "told":
		n, err := strconv.Atoi(a[0])
		return w.checkRefusals(n), err
	}
	s := w.servers[a[0]]
	if s == nil {
		return w.runLinkCommand(command, a)
	}
	switch command {
	case "work":
		d, err := time.ParseDuration(a[1])
		s.mu.Lock()
		s.work = d
		s.mu.Unlock()
		return "", err
	case "breaks":
		n, err := strconv.Atoi(a[1])
		s.mu.Lock()
		s.breaks = n
		s.mu.Unlock()
		return "", err
	case "limit":
		if a[1] == "none" {
			s.setLimit("", math.Inf(1))
			return "", nil
		}
		v, err := strconv.ParseFloat(a[1], 64)
		s.setLimit(a[1], v)
		return "", err
	case "lies":
		s.mu.Lock()
		s.value = a[1]
		s.mu.Unlock()
		return "", nil
	case "cold":
		s.mu.Lock()
		s.cold = append(s.cold, clock.Now())
		s.mu.Unlock()
		return "", nil
	case "cold-entry":
		b := s.backend
		b.ColdFor = warmUp
		b.Revision = uint64(clock.Now().UnixNano())
		return "", w.writeEntry(b)
	case "arrive":
		return s.checkRate(a[1:])
	default:
		return w.runProcessCommand(s, command, a[1:])
	}
}

// checkRate returns the requests per second that a backend server received, empty if
// they are between two bounds.
func (s *server) checkRate(a []string) (string, error) {
	least, err := strconv.ParseFloat(a[0], 64)
	if err != nil {
		return "", err
	}
	most, err := strconv.ParseFloat(a[1], 64)
	if err != nil {
		return "", err
	}
	d, err := time.ParseDuration(a[2])
	if n := s.arrivalRate(d); n < least || n > most {
		return fmt.Sprintf("%.2f a second", n), err
	}
	return "", err
}

// startServer starts a backend server and adds its entry to the store.
func (w *deployment) startServer(a []string) error {
	n, err := strconv.Atoi(a[2])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(a[3])
	if err != nil {
		return err
	}
	b := backend.Backend{Name: a[0], Region: a[1], Domain: a[1], Service: listings, Address: a[0] + ":80", Slots: n, Started: clock.Now().UnixMilli()}
	w.servers[b.Name] = w.runServer(b, d)
	return w.writeEntry(b)
}

// runServer starts the process of a backend server, which gets all new connections to its
// address.
func (w *deployment) runServer(b backend.Backend, d time.Duration) *server {
	s := &server{
		backend: b, homes: w.homes, attempts: &w.attempts, endings: &w.endings, random: w.random, repeats: &w.repeats, shutdowns: &w.shutdowns,
		runs: &w.runs, links: &w.network.links, work: d, notified: make(map[string]time.Time), done: make(chan error, 1),
		wanted: make(map[string][]period), recovered: make(map[string]time.Time), running: make(map[string][]time.Time),
	}
	s.stop = func(d time.Duration, silent bool) { w.stopServer(s, d, silent) }
	s.http.Handler = s
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	l := w.network.listen(s.backend.Address, s.backend.Region)
	go func() { s.done <- s.http.Serve(l) }()
	return s
}

// writeEntry writes the entry of a backend server to the store.
func (w *deployment) writeEntry(b backend.Backend) error {
	v, err := codec.Marshal(storedBackend{Backend: b, Sequence: b.Sequence})
	w.backends.Put(b.Name, v)
	return err
}

// storedBackend is the entry of a backend server in the store.
type storedBackend struct {
	Backend  backend.Backend
	Sequence int64
}

func decodeBackends(m map[string]row.Row) []backend.Backend {
	var l []backend.Backend
	for _, r := range m {
		var e storedBackend
		if len(r.Value) == 0 {
			continue
		}
		if err := codec.Unmarshal(r.Value, &e); err != nil {
			panic(err) // the test wrote it
		}
		b := e.Backend
		b.Sequence = e.Sequence
		l = append(l, b)
	}
	return l
}

// upstream returns a host's client for backend servers.
func (w *deployment) upstream(host, region string) *upstream.Upstream {
	u := upstream.New(clock, time.Second)
	u.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		return w.network.dialBackend(ctx, host, region, a)
	}
	u.SetHeaders = func(h http.Header, r *request.Request, _ backend.Backend, _ time.Duration) {
		h.Set(upstream.IDHeader, r.ID)
		h.Set(hostHeader, host)
		h.Set(attemptHeader, w.attempts.next(host))
	}
	return u
}

// startCallers replaces the callers by ones that send perSecond requests a second to
// hosts until the script ends.
func (w *deployment) startCallers(perSecond float64, hosts []string) {
	if len(hosts) == 0 {
		for _, m := range w.members {
			hosts = append(hosts, m.Name)
		}
	}
	w.stopCallers()
	ctx, f := context.WithCancel(context.Background())
	d := make(chan struct{})
	w.stopCallers = func() {
		f()
		<-d
	}
	r := rand.New(rand.NewPCG(w.seed, uint64(len(hosts))))
	go func() {
		defer close(d)
		ended := make(chan struct{})
		n := 0
		for ctx.Err() == nil {
			clock.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
			h, o := hosts[r.IntN(len(hosts))], strconv.Itoa(r.IntN(objects))
			w.requestCount++
			n++
			go func(id int) {
				w.sendRequest(h, o, strconv.Itoa(id))
				ended <- struct{}{}
			}(w.requestCount)
			n -= countEnded(ended)
		}
		for ; n > 0; n-- {
			<-ended
		}
	}()
}

// countEnded returns how many requests have ended, without waiting.
func countEnded(ended <-chan struct{}) int {
	n := 0
	for {
		select {
		case <-ended:
			n++
		default:
			return n
		}
	}
}

// sendRequest sends one request to a host if it is ready.
func (w *deployment) sendRequest(host, object, id string) {
	h := w.process(host)
	if !h.accepts() {
		return
	}
	defer h.calls.Begin()()
	k := w.kind(id)
	p := k.path + object
	r := &request.Request{
		ID: id, Host: callerHost, Method: http.MethodGet, Target: p, Object: object,
		Header: make(http.Header), Deadline: clock.Now().Add(requestTimeout),
	}
	if k.body > 0 {
		r.Method, r.Length = http.MethodPost, int64(k.body)
		r.Body = bytes.NewReader(make([]byte, k.body))
		if err := r.BufferBody(maxBuffered); err != nil {
			panic(err) // the body is in memory
		}
	}
	ctx, f := context.WithCancel(context.Background())
	defer f()
	t := clock.Now()
	if k.leaves > 0 {
		x := clock.AfterFunc(k.leaves, func() {
			w.runs.leave(id)
			f()
		})
		defer x.Stop()
	}
	r.Header.Set(sentHeader, strconv.FormatInt(t.UnixNano(), 10))
	w.repeats.send()
	a := httptest.NewRecorder()
	defer func() {
		// Serving panics if the response breaks off after its header.
		v := recover()
		if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(v)
		}
	}()
	u := h.edge.Gateway.Serve(ctx, r, p, k.key, a)
	w.runs.end(id, u.Ran == outcome.RanNo)
	w.recordCall(call{id: id, host: host, sent: t, outcome: u.Outcome, message: u.Message, retryAfter: u.RetryAfter, left: ctx.Err() != nil})
	w.recordRefusal(host, t, u, len(r.AttemptedBackends.Names()))
	if s := w.servers[a.Header().Get(backendHeader)]; s != nil {
		s.markNotified(host, a.Header())
	}
}

// excess lists the backend servers that received more requests than their limit or their
// backoff allows, more than a cold backend server is allowed to receive, or some after they
// left, and what else must not have happened to requests.
func (w *deployment) excess() string {
	var l []string
	for _, s := range w.servers {
		for _, e := range []string{s.excess(w.contact), s.coldExcess(), s.backoffExcess(), s.leavingExcess()} {
			if e != "" {
				l = append(l, e)
			}
		}
	}
	l = append(l, w.runs.wrong()...)
	for _, e := range []string{w.attempts.excess(), w.repeats.excess()} {
		if e != "" {
			l = append(l, e)
		}
	}
	slices.Sort(l)
	return strings.Join(l, "; ")
}

// stopServers stops the callers and the backend servers.
func (w *deployment) stopServers() {
	w.stopCallers()
	w.endings.stopRestarts()
	for _, s := range w.servers {
		_ = s.http.Close() // the network closes its connections
		if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the test's own server must not fail
		}
	}
}

// backoffValues returns the values of the header in which a backend server states for how
// long it wants no requests.
func backoffValues(h http.Header) []string { return h.Values(backoffHeader) }

// limitValues returns the values of the limit header.
func limitValues(h http.Header) []string { return h.Values(limitHeader) }

func noReport(http.Header) (running, waiting int, ok bool) { return 0, 0, false }

func addRoutes(c *config.Config) { c.Routes, c.Services = routes, services }

// Guards against an overloaded backend server that states how many requests a second it
// accepts from all hosts together and receives as many as before.
func TestBackendLimit(t *testing.T) { runSeeded(t, "limit") }

// Guards against hosts that keep using a limit after it was lowered, raised or removed.
func TestLimitChanges(t *testing.T) { runSeeded(t, "limit-changes") }

// Guards against a backend server with a limit of zero that receives as many requests
// as before, or none after the limit is removed.
func TestLimitOfZero(t *testing.T) { runSeeded(t, "limit-zero") }

// Guards against an invalid value that sets a limit or removes the previous one.
func TestInvalidLimit(t *testing.T) { runSeeded(t, "limit-none") }

// Guards against retries that are not counted towards a limit.
func TestLimitCoversRetries(t *testing.T) { runSeeded(t, "limit-second-tries") }

// Guards against requests that net/http sends again on a new connection and that are
// not counted towards a limit.
func TestLimitCoversTransportRetries(t *testing.T) { runSeeded(t, "limit-breaks") }

// Guards against many hosts that send one request each and together exceed the limit.
func TestLimitSharedByManyHosts(t *testing.T) { runSeeded(t, "limit-many-hosts") }

// Guards against unused capacity when all backend servers of a service have limits.
func TestLimitsOnAllBackends(t *testing.T) { runSeeded(t, "limit-everywhere") }

// Backend servers of an evacuated failure domain turn cold while no host receives
// responses from the store. Guards against hosts that then send full load to these
// backend servers, also if the evacuation ends before the store recovers.
func TestColdBackendsDuringStoreOutage(t *testing.T) {
	for _, n := range []string{"cold-in-silence", "cold-unheard"} {
		t.Run(n, func(t *testing.T) { runSeeded(t, n) })
	}
}

// Guards against delayed requests in a store outage that is too short for any backend
// server to have turned cold.
func TestShortStoreOutageDelaysNothing(t *testing.T) { runSeeded(t, "cold-short-silence") }
