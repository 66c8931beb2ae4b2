package idempotency_test

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
)

// world is the state of one script.
type world struct {
	clock *clockwork.FakeClock
	store *faultyStore
	hosts map[string]*idempotency.Idempotency
	inc   map[string]uint64
	runs  map[string]record.Record
	open  map[string]bool // "host/id" of attempts that run
}

// TestScripts runs testdata. The commands are:
//
//	host NAME                   starts a process of that name, or a new one in its place
//	gone NAME                   ends it without a word
//	store up|out|lose|late      sets the store's fault
//	reads on|off                lets reads fail
//	begin HOST ATTEMPT ID BODY  prints "run", or the outcome and Ran
//	end HOST ATTEMPT ID STATE   ends an attempt that runs
//	flush HOST                  lets the host write what it still has to
//	pass                        lets a second pass
//	arrive                      prints how many late commits took effect
//	commits                     prints the number of commits so far
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["world"] = &world{
				clock: clockwork.NewFakeClock(), store: new(faultyStore), hosts: make(map[string]*idempotency.Idempotency),
				inc: make(map[string]uint64), runs: make(map[string]record.Record), open: make(map[string]bool),
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"host": host, "gone": gone, "store": setStore, "reads": reads, "begin": begin, "end": end,
			"flush": flush, "arrive": arrive, "commits": commits, "pass": pass,
		},
	})
}

func host(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("world").(*world)
	w.inc[a[0]]++
	maps.DeleteFunc(w.open, func(k string, _ bool) bool { return strings.HasPrefix(k, a[0]+"/") })
	w.hosts[a[0]] = newHost(w.clock, w.store, a[0], w.inc[a[0]], w.alive)
}

func gone(s *testscript.TestScript, _ bool, a []string) {
	delete(s.Value("world").(*world).hosts, a[0])
}

func (w *world) alive(name string, inc uint64) bool {
	return w.hosts[name] != nil && w.inc[name] == inc
}

func setStore(s *testscript.TestScript, _ bool, a []string) {
	s.Value("world").(*world).store.set(a[0])
}

func reads(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("world").(*world)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.noReads = a[0] == "off"
}

func begin(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("world").(*world)
	r, o := w.begin(a[0], a[1], a[2], a[3])
	if o.Outcome == "" {
		w.runs[a[1]] = r
		_, _ = s.Stdout().Write([]byte("run\n"))
		return
	}
	if o.Outcome != outcome.Answered {
		r.Body = nil
	}
	_, _ = s.Stdout().Write([]byte(strings.TrimSpace(o.Outcome+" "+o.Ran+" "+string(r.Body)) + "\n"))
}

func (w *world) begin(host, attempt, id, body string) (r record.Record, o outcome.Outcome) {
	d := make(chan struct{})
	go func() {
		defer close(d)
		x, f := context.WithCancel(context.Background())
		defer f()
		if w.open[host+"/"+id] {
			f() // it would wait for an attempt that nobody ends meanwhile
		}
		r, o = w.hosts[host].Begin(x, "camp", id, attempt, body)
	}()
	advance(w.clock, d)
	if o.Outcome == "" {
		w.open[host+"/"+id] = true
	}
	return r, o
}

func end(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("world").(*world)
	r := w.runs[a[1]]
	r.State = a[3]
	if r.State == record.Done {
		r.Body = []byte("enrolled-by-" + a[1])
	}
	w.hosts[a[0]].End("camp", a[2], r)
	w.open[a[0]+"/"+a[2]] = false
}

func flush(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("world").(*world)
	w.flush(a[0])
}

func (w *world) flush(host string) {
	x, f := context.WithCancel(context.Background())
	f()
	d := make(chan struct{})
	go func() {
		defer close(d)
		_ = w.hosts[host].Run(x) // it always returns nil
	}()
	advance(w.clock, d)
}

func arrive(s *testscript.TestScript, _ bool, _ []string) {
	_, _ = s.Stdout().Write([]byte(strconv.Itoa(s.Value("world").(*world).store.arrive()) + "\n"))
}

func commits(s *testscript.TestScript, _ bool, _ []string) {
	_, n := s.Value("world").(*world).store.table.Operations()
	_, _ = s.Stdout().Write([]byte(strconv.FormatUint(n, 10) + "\n"))
}

func pass(s *testscript.TestScript, _ bool, _ []string) {
	s.Value("world").(*world).clock.Advance(time.Second)
}
