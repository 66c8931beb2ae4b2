package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/decisionlog"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/latency"
	"celeryreach.example/celeryreach/logbuffer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/tokens"
)

// fixture is a host with a configuration and no backend servers.
type fixture struct {
	clock        *clockwork.FakeClock
	gateway      *gateway.Gateway
	index        *routeindex.Routeindex
	store        *freshness.Freshness
	log          *logbuffer.Logbuffer
	whileWaiting func() // called while a request waits
}

// The scripts check the log lines of refused requests.
//
//	configuration VERSION KEY...  puts a configuration with these keys and the route /listings/ in force
//	many VERSION N                the same, with the keys key-1 to key-N
//	answers                       the store answers a host
//	pass DURATION                 advances the clock
//	meanwhile VERSION KEY...      puts a configuration in force while the next request waits
//	call ID PATH [KEY]            prints the outcome and the log lines of a request
func TestGateway(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["world"] = newFixture()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"configuration": configuration, "many": many, "answers": answers, "pass": pass, "meanwhile": meanwhile, "call": call,
		},
	})
}

func newFixture() *fixture {
	c := clockwork.NewFakeClock()
	w := &fixture{clock: c, store: &freshness.Freshness{Clock: c}, log: new(logbuffer.Logbuffer), whileWaiting: func() {}}
	w.gateway = &gateway.Gateway{
		Clock: c, Log: log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter}),
		Index: func() *routeindex.Routeindex { return w.index },
		StoreAge: func() (time.Duration, bool) {
			a := w.store.Age()
			return time.Duration(max(a-1, 0)), a > 0
		},
		Tokens: &tokens.Tokens{
			Clock: c, Self: "a", Hosts: func() []string { return []string{"a"} },
			StartBorrowing: func(string, int64, int64, []string) bool { return false },
		},
		Placement: &placement.Placement{Clock: c}, Latency: new(latency.Latency), OnOutcome: func(string) {},
		Dispatch: w.dispatch,
	}
	return w
}

// dispatch checks after the wait whether the key is still in force.
func (w *fixture) dispatch(_ context.Context, r *request.Request, _ http.ResponseWriter) outcome.Outcome {
	w.whileWaiting()
	if !w.gateway.IsKeyValid(r.Credential) {
		return outcome.Outcome{Outcome: outcome.KeyUnknown, Ran: outcome.RanNo, Message: "the key was withdrawn"}
	}
	return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
}

func (w *fixture) configure(version int, keys []string) {
	c := &config.Config{
		Version: uint64(version), Accounts: []account.Account{{Name: "unity", Rate: 100, Burst: 100}},
		Routes: []ingress.Ingress{{Name: "view", Host: "camps.example", Prefix: "/listings/"}},
	}
	for _, k := range keys {
		c.Keys = append(c.Keys, credential.Credential{Account: "unity", Hash: credential.Hash(k)})
	}
	w.index = routeindex.New(c, w.index, w.clock.Now())
	w.gateway.Tokens.Set(c.Accounts)
}

func fixtureOf(s *testscript.TestScript) *fixture { return s.Value("world").(*fixture) }

func number(s *testscript.TestScript, a string) int {
	return scripttest.Scripttest{Script: s}.Number(a)
}

func configuration(s *testscript.TestScript, _ bool, a []string) {
	fixtureOf(s).configure(number(s, a[0]), a[1:])
}

func many(s *testscript.TestScript, _ bool, a []string) {
	var l []string
	for i := range number(s, a[1]) {
		l = append(l, fmt.Sprint("key-", i+1))
	}
	fixtureOf(s).configure(number(s, a[0]), l)
}

func answers(s *testscript.TestScript, _ bool, _ []string) { fixtureOf(s).store.RecordContact() }

func pass(s *testscript.TestScript, _ bool, a []string) {
	fixtureOf(s).clock.Advance(scripttest.Scripttest{Script: s}.Duration(a[0]))
}

func meanwhile(s *testscript.TestScript, _ bool, a []string) {
	w, v := fixtureOf(s), number(s, a[0])
	w.whileWaiting = func() {
		w.configure(v, a[1:])
		w.whileWaiting = func() {}
	}
}

func call(s *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(s)
	r := &request.Request{ID: a[0], Host: "camps.example", Method: http.MethodGet, Deadline: w.clock.Now().Add(time.Minute)}
	k := ""
	if len(a) > 2 {
		k = a[2]
	}
	o := w.gateway.Serve(context.Background(), r, a[1], k, httptest.NewRecorder())
	_, err := fmt.Fprintln(s.Stdout(), o.Outcome)
	s.Check(err)
	for _, l := range strings.Split(w.log.String(), "\n") {
		if strings.Contains(l, " Request="+a[0]+" ") {
			_, err = fmt.Fprintln(s.Stdout(), l)
			s.Check(err)
		}
		if k != "" && (strings.Contains(l, k) || strings.Contains(l, credential.Hash(k))) {
			s.Fatalf("a key in the log: %s", l)
		}
	}
}

// placeRequest places a request on one of two backend servers; again holds, for each
// backend server that grants no permit now, the time after which it may grant one.
func placeRequest(ctx context.Context, patience time.Duration, again map[string]time.Duration) (slot.Slot, outcome.Outcome) {
	w := newFixture()
	w.configure(1, nil)
	p := &placement.Placement{Clock: w.clock, ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
	p.Set([]backend.Backend{{Name: "c1", Slots: 2}, {Name: "c2", Slots: 2}}, func(string) time.Time { return time.Time{} })
	w.gateway.Placement = p
	w.gateway.RequestPermit = func(_ context.Context, b backend.Backend) (time.Duration, bool) {
		return again[b.Name], again[b.Name] == 0
	}
	return w.gateway.AcquireSlot(ctx, &request.Request{
		ID: "r1", Admitted: w.clock.Now(), MaxWait: patience, AttemptedBackends: new(attempted.Attempted), DecisionLog: new(decisionlog.Decisionlog),
	})
}

// A request that is denied a permit for one backend server must be placed on another
// one that grants it. If none does, it must be refused at once, and must never be sent
// without a permit.
func TestPlaceSkipsBackendsWithoutPermit(t *testing.T) {
	for _, p := range []time.Duration{time.Second, 0} {
		for _, n := range []string{"c1", "c2"} {
			s, o := placeRequest(t.Context(), p, map[string]time.Duration{n: time.Second})
			must.EqOp(t, "", o.Outcome)
			must.NotEqOp(t, n, s.Backend.Name)
		}
		_, o := placeRequest(t.Context(), p, map[string]time.Duration{"c1": 700 * time.Millisecond, "c2": 400 * time.Millisecond})
		must.EqOp(t, outcome.NoCapacity, o.Outcome)
		must.EqOp(t, outcome.RanNo, o.Ran)
		must.EqOp(t, 400*time.Millisecond, o.RetryAfter)
	}
}

// A request whose waiting time has run out must not be reported as Left, since its
// caller may still wait and send it again. Left is the outcome only if the context
// ended while a permit was requested.
func TestPlaceOutcomeAfterDeadline(t *testing.T) {
	x, stop := context.WithCancel(t.Context())
	stop()
	_, o := placeRequest(x, 0, map[string]time.Duration{"c1": time.Second, "c2": time.Second})
	must.EqOp(t, outcome.Left, o.Outcome)
	w := newFixture()
	w.configure(1, nil)
	_, o = w.gateway.AcquireSlot(x, &request.Request{ID: "r1", Admitted: w.clock.Now(), DecisionLog: new(decisionlog.Decisionlog)})
	must.EqOp(t, outcome.NoCapacity, o.Outcome)
	must.Positive(t, o.RetryAfter)
}

// Guards against a request that waited for a permit and is then sent to a backend server
// that has come to want no requests.
func TestBackoffDuringPermitRequest(t *testing.T) {
	for _, n := range []int{1, 2} {
		w := newFixture()
		w.configure(1, nil)
		b := &backendbackoff.Backendbackoff{Clock: w.clock, Log: log.New(io.Discard)}
		p := &placement.Placement{Clock: w.clock, Backoff: b, ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
		p.Set([]backend.Backend{{Name: "c1", Slots: 2}, {Name: "c2", Slots: 2}}, func(string) time.Time { return time.Time{} })
		w.gateway.Placement = p
		var refused []string
		w.gateway.RequestPermit = func(_ context.Context, v backend.Backend) (time.Duration, bool) {
			if len(refused) < n {
				refused = append(refused, v.Name)
				b.Observe(v, w.clock.Now(), []string{"3"}, "")
			}
			return 0, true
		}
		s, o := w.gateway.AcquireSlot(t.Context(), &request.Request{
			ID: "r1", Admitted: w.clock.Now(), MaxWait: time.Second, AttemptedBackends: new(attempted.Attempted), DecisionLog: new(decisionlog.Decisionlog),
		})
		if n == 1 {
			must.EqOp(t, "", o.Outcome)
			must.NotEqOp(t, refused[0], s.Backend.Name)
			continue
		}
		must.EqOp(t, outcome.NoCapacity, o.Outcome)
		must.EqOp(t, 3*time.Second, o.RetryAfter)
	}
}

// Guards against callers that are told to come back before a backend server accepts
// requests, or all at the same time.
func TestDelayIsSpreadAboveTrueTime(t *testing.T) {
	for _, v := range []struct {
		seconds string
		random  float64
		told    time.Duration
	}{
		{"3", 0, 3 * time.Second},
		{"3", 0.5, 3375 * time.Millisecond},
		{"600", 0.5, 601 * time.Second},
		{"0.1", 0.5, 250 * time.Millisecond},
	} {
		w := newFixture()
		w.configure(1, nil)
		b := &backendbackoff.Backendbackoff{Clock: w.clock, Log: log.New(io.Discard)}
		p := &placement.Placement{Clock: w.clock, Backoff: b, ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
		p.Set([]backend.Backend{{Name: "c1", Slots: 2}}, func(string) time.Time { return time.Time{} })
		b.Observe(backend.Backend{Name: "c1"}, w.clock.Now(), []string{v.seconds}, "")
		w.gateway.Placement, w.gateway.Random = p, func() float64 { return v.random }
		_, o := w.gateway.AcquireSlot(t.Context(), &request.Request{ID: "r1", Admitted: w.clock.Now(), MaxWait: time.Second, DecisionLog: new(decisionlog.Decisionlog)})
		must.EqOp(t, outcome.NoCapacity, o.Outcome)
		must.EqOp(t, v.told, o.RetryAfter)
	}
}

// Guards against a caller that is told to come back at once because a backend server, and
// not this host, turned its request away.
func TestTurnedAwayCallerIsToldDelay(t *testing.T) {
	w := newFixture()
	w.configure(1, nil)
	w.configure(1, []string{"key-1"})
	w.clock.Advance(time.Second) // the account's rate is then available
	w.gateway.Dispatch = func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome {
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the backend server had no room"}
	}
	r := &request.Request{ID: "r1", Host: "camps.example", Method: http.MethodGet, Deadline: w.clock.Now().Add(time.Minute)}
	o := w.gateway.Serve(t.Context(), r, "/listings/1", "key-1", httptest.NewRecorder())
	must.EqOp(t, outcome.NoCapacity, o.Outcome)
	must.Positive(t, o.RetryAfter)
}

// Guards against counting a caller that leaves while its request waits for a borrowed token
// as one above its account's rate.
func TestCallerLeavesWhileBorrowing(t *testing.T) {
	w := newFixture()
	w.configure(1, nil)
	w.configure(1, []string{"key-1"}) // the bucket is empty at the start
	x, leave := context.WithCancel(t.Context())
	w.gateway.Tokens.StartBorrowing = func(string, int64, int64, []string) bool {
		leave()
		return true
	}
	r := &request.Request{ID: "r1", Host: "camps.example", Method: http.MethodGet, Deadline: w.clock.Now().Add(time.Minute)}
	o := w.gateway.Serve(x, r, "/listings/1", "key-1", httptest.NewRecorder())
	must.EqOp(t, outcome.Left, o.Outcome)
	must.EqOp(t, outcome.RanNo, o.Ran)
}
