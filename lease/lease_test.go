package lease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const term = 8 * time.Second

var errLost = errors.New("lost")

// rivals are processes that compete for one lease. Each has its own clock.
type rivals struct {
	table         memorytable.Memorytable
	leases        map[string]*rival
	storeDown     bool
	loseResponses bool
	fenced        map[string]commit.Commit
}

type rival struct {
	*lease.Lease
	clock *clockwork.FakeClock
	speed float64
	run   bool
}

// Each file of testdata is one scenario. Its first lines describe the state of
// each process, the order of events, and the expected result.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["rivals"] = &rivals{leases: make(map[string]*rival), fenced: make(map[string]commit.Commit)}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, a []string){
			"process": process, "step": step, "pause": pause, "held": held, "fence": fence, "write": write, "store": setStoreFaults,
		},
	})
}

func rivalsOf(ts *testscript.TestScript) *rivals {
	return ts.Value("rivals").(*rivals)
}

// process NAME [fast|slow] starts a process.
func process(ts *testscript.TestScript, _ bool, a []string) {
	r := rivalsOf(ts)
	v := &rival{clock: clockwork.NewFakeClock(), speed: 1, run: true}
	if len(a) > 1 {
		v.speed = map[string]float64{"fast": 1.01, "slow": 0.99}[a[1]]
	}
	v.Lease = &lease.Lease{Clock: v.clock, Name: "planner", Holder: a[0], Term: term, Store: store.Store{Read: r.read, Commit: r.commit}}
	r.leases[a[0]] = v
}

func (r *rivals) read(_ context.Context, key string) (row.Row, error) {
	if r.storeDown {
		return row.Row{}, errLost
	}
	return r.table.Read(key), nil
}

func (r *rivals) commit(_ context.Context, c commit.Commit) (bool, error) {
	if r.storeDown {
		return false, errLost
	}
	ok := r.table.Commit(c)
	if r.loseResponses {
		return false, errLost
	}
	return ok, nil
}

// step DURATION NAME... advances the time of all processes; the named processes
// call Step every two seconds.
func step(ts *testscript.TestScript, _ bool, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	r := rivalsOf(ts)
	for t := time.Duration(0); t < d; t += term / 4 {
		for _, n := range a[1:] {
			if v := r.leases[n]; v.run {
				v.Step(context.Background())
			}
		}
		for _, v := range r.leases {
			v.clock.Advance(time.Duration(float64(min(term/4, d-t)) * v.speed))
		}
	}
}

// pause NAME pauses or resumes a process. Its clock keeps running.
func pause(ts *testscript.TestScript, _ bool, a []string) {
	v := rivalsOf(ts).leases[a[0]]
	v.run = !v.run
}

// held NAME EPOCH checks that a process holds the lease.
func held(ts *testscript.TestScript, neg bool, a []string) {
	e, ok := rivalsOf(ts).leases[a[0]].Held()
	if (ok && string(rune('0'+e)) == a[1]) == neg {
		ts.Fatalf("%s: epoch %d, held %v", a[0], e, ok)
	}
}

// fence NAME prepares a write of that process, and write NAME commits it.
func fence(ts *testscript.TestScript, _ bool, a []string) {
	r := rivalsOf(ts)
	r.fenced[a[0]] = r.leases[a[0]].Fence(commit.Commit{Put: []row.Row{{Key: "plan", Value: []byte(a[0])}}})
}

func write(ts *testscript.TestScript, neg bool, a []string) {
	r := rivalsOf(ts)
	if r.table.Commit(r.fenced[a[0]]) == neg {
		ts.Fatalf("the write of %s: refused %v", a[0], !neg)
	}
}

// store out|in|lose|answer sets the result of calls to the table.
func setStoreFaults(ts *testscript.TestScript, _ bool, a []string) {
	r := rivalsOf(ts)
	r.storeDown = a[0] == "out"
	r.loseResponses = a[0] == "lose"
}

// A process that never held the lease must not pass its fence. An absent row
// has version zero, which a commit could expect by mistake.
func TestFenceWithoutLease(t *testing.T) {
	l := &lease.Lease{Clock: clockwork.NewFakeClock(), Name: "planner", Term: term}
	var b memorytable.Memorytable
	must.False(t, b.Commit(l.Fence(commit.Commit{Put: []row.Row{{Key: "plan"}}})))
}
