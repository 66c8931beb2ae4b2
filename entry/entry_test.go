package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/dedup"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/entry"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/shutdown"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/ticketstore"
	"celeryreach.example/celeryreach/upstream"
)

// testHost is one host with backend servers on loopback addresses. Slots are
// assigned round-robin.
type testHost struct {
	clock       clockwork.Clock
	address     string
	servers     []backend.Backend
	handlers    map[string]*backendstandin.Backendstandin
	maxWait     time.Duration
	store       memorytable.Memorytable
	stop        []func()
	closed      atomic.Bool
	shutdown    shutdown.Shutdown
	done        chan string
	queue       *queue.Queue
	tickets     *ticketstore.Ticketstore
	commitBatch *commitbatch.Commitbatch
	storeDown   atomic.Bool

	mu   sync.Mutex
	turn int
}

func (s *testHost) acquire() (slot.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.servers) == 0 {
		return slot.Slot{}, false
	}
	s.turn++
	return slot.Slot{Backend: s.servers[s.turn%len(s.servers)], Release: func(result.Result) {}, OnResponse: func(int, http.Header) {}}, true
}

func (s *testHost) snapshot() *snapshot.Snapshot {
	c := &config.Config{
		Preset: "Ordinary", Presets: []preset.Preset{{Name: "Ordinary", MaxWait: s.maxWait, RetryBudget: 0.1}},
		Services: []service.Service{
			{Name: "All", Prefix: "/", Timeout: 10 * s.maxWait},
			{Name: "Large", Prefix: "/large/", Timeout: time.Minute}, // an answer may take seconds on a loaded machine
		},
		Accounts: []account.Account{{Name: "camp", Rate: 100_000, Burst: 100_000}, {Name: "studio", Rate: 1000, Burst: 1000}},
		Keys: []credential.Credential{
			{ID: "1", Account: "camp", Hash: credential.Hash("camp-key-1")},
			{ID: "2", Account: "studio", Hash: credential.Hash("studio-key-2")},
		},
	}
	return snapshot.New(c, "")
}

func (s *testHost) entry() *entry.Entry {
	v := s.snapshot()
	n := func() *snapshot.Snapshot { return v }
	a := &authenticator.Authenticator{Snapshot: n}
	p := store.Store{
		Read:   platformRead(&s.store, &s.storeDown),
		Commit: platformCommit(&s.store, &s.storeDown),
	}
	s.commitBatch = &commitbatch.Commitbatch{Clock: s.clock, Commit: p.Commit, MaxRows: 64, Timeout: time.Second}
	i := &idempotency.Idempotency{
		Clock: s.clock, Store: p, Host: "a", Incarnation: 1, Timeout: time.Second, CommitBatch: s.commitBatch,
		IsAlive: func(string, uint64) bool { return false },
	}
	s.run(i.Run)
	q := &queue.Queue{Clock: s.clock, Acquire: s.acquire, Limit: 1000}
	s.queue = q
	d := &dispatch.Dispatch{
		Clock: s.clock, Queue: func(string) *queue.Queue { return q }, IsKeyValid: a.Valid, Upstream: upstream.New(s.clock, time.Second),
		ConfirmToken: func(*request.Request) bool { return true },
		Timeout:      func() time.Duration { return v.Preset.MaxWait }, Budget: &retrybudget.Retrybudget{Ratio: func() float64 { return 1 }},
		Hedge:          &hedge.Hedge{Initial: 50 * time.Millisecond, Min: 50 * time.Millisecond, Max: 50 * time.Millisecond},
		ResponseCopier: &responsecopier.Responsecopier{Clock: s.clock, BufferLimit: 1000, WriteTimeout: 2 * time.Second},
	}
	s.stop = append(s.stop, d.Upstream.Close)
	s.tickets = &ticketstore.Ticketstore{
		Clock: s.clock, Host: "a", Incarnation: 1, Lifetime: time.Hour, MaxAnswerBytes: 1 << 20, MaxUsed: 100_000,
		HostAddress: func(h string, _ uint64) (string, bool) { return "10.0.0.2:80", h == "b" },
	}
	o := &dedup.Dedup{Begin: i.Begin, End: i.End, Tickets: s.tickets}
	return &entry.Entry{
		Clock: s.clock, Log: log.New(io.Discard), Snapshot: n, Authenticator: a, RunOnce: o.Serve, ServeLocally: d.Serve,
		Quota: &quota.Quota{Clock: s.clock, Account: v.Account, Hold: time.Hour, Grant: func(string) grant.Grant {
			return grant.Grant{Floor: 1, FloorUntil: s.clock.Now().Add(time.Hour), FirstUse: true}
		}},
		Forward: func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome {
			return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
		},
		EntryHosts:      func(string, string) []string { return []string{"10.0.0.2:80"} },
		RefusesRequests: s.closed.Load, MayStart: s.shutdown.Allows,
		OnOutcome: func(_ *request.Request, o outcome.Outcome, _ time.Duration) { s.done <- o.Outcome },
	}
}

func (s *testHost) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.run((&httplisten.Httplisten{Listener: l, Handler: h}).Run)
	return l.Addr().String(), nil
}

// run runs a component until the script ends.
func (s *testHost) run(f func(context.Context) error) {
	x, c := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- f(x) }()
	s.stop = append(s.stop, func() {
		c()
		<-d //nolint:errcheck // only the end of the component matters
	})
}

// TestScripts runs the scripts in testdata. Their commands are:
//
//	backend NAME KNOBS       starts a backend server, or sets the faults of a running one
//	send METHOD PATH [HEADER]... [=BODY]
//	                         prints the status, then the body of an answer, or Outcome, Ran and EntryHosts
//	leave METHOD PATH ...    sends a request and disconnects once a backend server runs it
//	stall PATH               requests PATH and does not read the answer
//	half PATH                requests PATH and closes the sending side of the connection
//	ended OUTCOME            waits until the first request that is not answered ends, with OUTCOME
//	raw FILE                 sends the content of FILE and prints the response
//	runs ID COUNT            checks how many times the request with ID was run
//	seen TEXT                checks that a backend server received TEXT
//	store out|up             makes every call to the store fail, or succeed again
//	commits COUNT            checks the number of commits
//	ticket NAME ACCOUNT      sets the variable NAME to a new ticket
//	enrol COUNT own|ticket   sends COUNT enrolments and prints how many were answered
//	leaving DURATION         begins a shutdown that ends after that time
//	shutdown                 makes the host refuse new requests
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := &testHost{clock: clockwork.NewRealClock(), maxWait: 100 * time.Millisecond, handlers: make(map[string]*backendstandin.Backendstandin), done: make(chan string, 100)}
			e.Values["site"] = s
			e.Defer(func() {
				for i := len(s.stop) - 1; i >= 0; i-- {
					s.stop[i]()
				}
			})
			a, err := s.serve(s.entry())
			s.address = a
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"backend": backendCommand, "send": send, "leave": leave, "stall": stall, "half": half, "ended": ended, "raw": raw, "runs": runs, "seen": seen,
			"store": setStore, "commits": commits, "ticket": issueTicket, "enrol": enrol,
			"leaving": func(t *testscript.TestScript, _ bool, a []string) {
				d, err := time.ParseDuration(a[0])
				t.Check(err)
				s := t.Value("site").(*testHost)
				s.shutdown.Clock = s.clock
				s.shutdown.Begin(d)
			},
			"shutdown": func(t *testscript.TestScript, _ bool, _ []string) { t.Value("site").(*testHost).closed.Store(true) },
		},
	})
}

func backendCommand(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	var k backendfaults.Backendfaults
	t.Check(codec.Unmarshal([]byte(a[1]), &k))
	if h := s.handlers[a[0]]; h != nil {
		h.SetFaults(k)
		return
	}
	h := &backendstandin.Backendstandin{Clock: s.clock, Name: a[0], Slots: 10, RequestDuration: 20 * time.Millisecond}
	h.SetFaults(k)
	b, err := s.serve(h)
	t.Check(err)
	s.handlers[a[0]] = h
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, backend.Backend{Name: a[0], Address: b})
}

func (s *testHost) request(ctx context.Context, a []string) (*http.Request, error) {
	var b io.Reader
	if v, ok := strings.CutPrefix(a[len(a)-1], "="); ok {
		b = strings.NewReader(v)
		a = a[:len(a)-1]
	}
	q, err := http.NewRequestWithContext(ctx, a[0], "http://"+s.address+a[1], b)
	if err != nil {
		return nil, err
	}
	for _, h := range a[2:] {
		k, v, _ := strings.Cut(h, ": ")
		q.Header.Add(k, v)
	}
	return q, nil
}

func send(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	q, err := s.request(context.Background(), a)
	t.Check(err)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		_, _ = io.WriteString(t.Stdout(), "broken answer\n")
		return
	}
	if p.Header.Get(responsecopier.NotRunHeader) != "" {
		t.Fatalf("the caller sees %s", responsecopier.NotRunHeader)
	}
	var o outcome.Outcome
	if err := codec.Unmarshal(b, &o); err == nil {
		b = []byte(o.Outcome + " " + o.Ran + " " + strings.Join(o.EntryHosts, ","))
	}
	_, _ = io.WriteString(t.Stdout(), p.Status[:4]+strings.TrimSpace(string(b))+"\n")
}

func leave(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	x, f := context.WithCancel(context.Background())
	q, err := s.request(x, a)
	t.Check(err)
	n := s.total()
	d := make(chan struct{})
	go func() {
		defer close(d)
		if p, err := http.DefaultClient.Do(q); err == nil {
			p.Body.Close()
		}
	}()
	for s.total() == n {
		<-s.clock.After(time.Millisecond)
	}
	f()
	<-d
}

func (s *testHost) total() int {
	n := 0
	for _, h := range s.handlers {
		for _, v := range h.RunCounts() {
			n += v
		}
	}
	return n
}

func ended(t *testscript.TestScript, _ bool, a []string) {
	for o := range t.Value("site").(*testHost).done {
		switch o {
		case a[0]:
			return
		case outcome.Answered: // of an earlier request
		default:
			t.Fatalf("ended: %s, not %s", o, a[0])
		}
	}
}

func raw(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	c, err := net.Dial("tcp", s.address)
	t.Check(err)
	defer c.Close()
	_, err = io.WriteString(c, strings.ReplaceAll(t.ReadFile(a[0]), "\n", "\r\n"))
	t.Check(err)
	b, _ := io.ReadAll(c) // the connection may be reset after the answer
	_, _ = t.Stdout().Write(append(b, '\n'))
}

func runs(t *testscript.TestScript, _ bool, a []string) {
	n := 0
	for _, h := range t.Value("site").(*testHost).handlers {
		n += h.RunCounts()[a[0]]
	}
	if got := string(rune('0' + n)); got != a[1] {
		t.Fatalf("%s ran %s times, not %s", a[0], got, a[1])
	}
}

func seen(t *testscript.TestScript, neg bool, a []string) {
	f := false
	for _, h := range t.Value("site").(*testHost).handlers {
		f = f || strings.Contains(strings.Join(h.ReceivedValues(), "\n"), a[0])
	}
	if f == neg {
		t.Fatalf("seen %q: %t", a[0], f)
	}
}

func do(q *http.Request) (int, error) {
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, err
}

func stall(t *testscript.TestScript, _ bool, a []string) {
	openRequest(t, a[0])
}

func half(t *testscript.TestScript, _ bool, a []string) {
	t.Check(openRequest(t, a[0]).(*net.TCPConn).CloseWrite())
}

func openRequest(t *testscript.TestScript, path string) net.Conn {
	s := t.Value("site").(*testHost)
	c, err := net.Dial("tcp", s.address)
	t.Check(err)
	t.Defer(func() { c.Close() })
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\nX-Api-Key: camp-key-1\r\n\r\n")
	t.Check(err)
	return c
}
