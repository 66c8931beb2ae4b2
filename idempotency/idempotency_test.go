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

// scriptState is the state of one script.
type scriptState struct {
	clock        *clockwork.FakeClock
	store        *faultyStore
	hosts        map[string]*idempotency.Idempotency
	incarnations map[string]uint64
	records      map[string]record.Record
	running      map[string]bool // "host/id" of attempts that run
}

// TestScripts runs the scripts in testdata. The commands are:
//
//	host NAME                   starts a process with that name, or replaces it
//	gone NAME                   ends it without a shutdown
//	store up|out|lose|late      sets the store's fault
//	reads on|off                switches reads on or off; off makes them fail
//	begin HOST ATTEMPT ID BODY  prints "run", or the outcome and Ran
//	end HOST ATTEMPT ID STATE   ends a running attempt
//	flush HOST                  makes the host write its pending records
//	pass                        advances the clock by one second
//	arrive                      applies delayed commits, prints how many took effect
//	commits                     prints the number of commits so far
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["state"] = &scriptState{
				clock: clockwork.NewFakeClock(), store: new(faultyStore), hosts: make(map[string]*idempotency.Idempotency),
				incarnations: make(map[string]uint64), records: make(map[string]record.Record), running: make(map[string]bool),
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
	w := s.Value("state").(*scriptState)
	w.incarnations[a[0]]++
	maps.DeleteFunc(w.running, func(k string, _ bool) bool { return strings.HasPrefix(k, a[0]+"/") })
	w.hosts[a[0]] = newHost(w.clock, w.store, a[0], w.incarnations[a[0]], w.alive)
}

func gone(s *testscript.TestScript, _ bool, a []string) {
	delete(s.Value("state").(*scriptState).hosts, a[0])
}

func (w *scriptState) alive(name string, inc uint64) bool {
	return w.hosts[name] != nil && w.incarnations[name] == inc
}

func setStore(s *testscript.TestScript, _ bool, a []string) {
	s.Value("state").(*scriptState).store.set(a[0])
}

func reads(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("state").(*scriptState)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.failReads = a[0] == "off"
}

func begin(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("state").(*scriptState)
	r, o := w.begin(a[0], a[1], a[2], a[3])
	if o.Outcome == "" {
		w.records[a[1]] = r
		_, _ = s.Stdout().Write([]byte("run\n"))
		return
	}
	if o.Outcome != outcome.Answered {
		r.Body = nil
	}
	_, _ = s.Stdout().Write([]byte(strings.TrimSpace(o.Outcome+" "+o.Ran+" "+string(r.Body)) + "\n"))
}

func (w *scriptState) begin(host, attempt, id, body string) (r record.Record, o outcome.Outcome) {
	d := make(chan struct{})
	go func() {
		defer close(d)
		x, f := context.WithCancel(context.Background())
		defer f()
		if w.running[host+"/"+id] {
			f() // Begin would wait for the running attempt, which the script ends only later
		}
		r, o = w.hosts[host].Begin(x, "camp", id, attempt, body)
	}()
	advance(w.clock, d)
	if o.Outcome == "" {
		w.running[host+"/"+id] = true
	}
	return r, o
}

func end(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("state").(*scriptState)
	r := w.records[a[1]]
	r.State = a[3]
	if r.State == record.Done {
		r.Body = []byte("enrolled-by-" + a[1])
	}
	w.hosts[a[0]].End("camp", a[2], r)
	w.running[a[0]+"/"+a[2]] = false
}

func flush(s *testscript.TestScript, _ bool, a []string) {
	w := s.Value("state").(*scriptState)
	w.flush(a[0])
}

func (w *scriptState) flush(host string) {
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
	_, _ = s.Stdout().Write([]byte(strconv.Itoa(s.Value("state").(*scriptState).store.applyDelayed()) + "\n"))
}

func commits(s *testscript.TestScript, _ bool, _ []string) {
	_, n := s.Value("state").(*scriptState).store.table.Operations()
	_, _ = s.Stdout().Write([]byte(strconv.FormatUint(n, 10) + "\n"))
}

func pass(s *testscript.TestScript, _ bool, _ []string) {
	s.Value("state").(*scriptState).clock.Advance(time.Second)
}
