package mirror_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/feedstandin"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/row"
)

// clock is the virtual time of the synctest bubble in which a test runs.
var clock = clockwork.NewRealClock()

// useOneProcessor runs a test on one processor. The race detector of the Go runtime
// crashes, with a segmentation violation or a failed internal check, if timers of a
// synctest bubble fire on several processors at once. It detects races by the
// happens-before relation rather than by actual concurrency, so it still finds them
// on one processor.
func useOneProcessor(t *testing.T) {
	t.Helper()
	n := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(n) })
}

// The limits of a deployment: recoveryDeadline is how soon after an outage hosts
// must have the current data, changeDeadline how long a change may take otherwise.
const (
	recoveryDeadline  = 3 * time.Second
	changeDeadline    = 2500 * time.Millisecond
	trustPeriod       = recoveryDeadline - 800*time.Millisecond
	heartbeatInterval = time.Second
	longPollWait      = 10 * time.Second
)

// fleet is a group of hosts that follow one store and exchange heartbeats every
// second.
type fleet struct {
	store       *feedstandin.Feedstandin
	mirrors     []*mirror.Mirror
	fresh       []*freshness.Freshness
	highestSeen []uint64 // the highest version of each host so far
	isolated    bool     // hosts do not exchange heartbeats
	puts        int
}

func newFleet(hosts int, abortLongPolls bool) *fleet {
	f := &fleet{store: feedstandin.New(clock), highestSeen: make([]uint64, hosts)}
	f.store.Put("0", nil)
	c := clock
	for i := range hosts {
		w := longPollWait
		if i == 0 && abortLongPolls {
			w = trustPeriod - heartbeatInterval - 200*time.Millisecond
		}
		m := &mirror.Mirror{
			Clock: c, Log: log.New(io.Discard), Name: "Config", LongPollTimeout: func() time.Duration { return w },
			ReplyTimeout: recoveryDeadline / 3, StoreTimeout: trustPeriod, OnChange: func(map[string]row.Row) {},
		}
		f.fresh = append(f.fresh, &freshness.Freshness{Clock: c})
		if abortLongPolls {
			m.StoreFreshness = f.fresh[i]
		}
		m.ReadChanges = func(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
			return f.store.Feed(ctx, fmt.Sprint(i), after, wait)
		}
		m.Read = func(ctx context.Context) ([]row.Row, uint64, error) { return f.store.Feed(ctx, fmt.Sprint(i), 0, 0) }
		f.mirrors = append(f.mirrors, m)
	}
	return f
}

func (f *fleet) run(ctx context.Context) (wait func()) {
	d := make(chan error)
	for i, m := range f.mirrors {
		go func() { d <- m.Run(ctx) }()
		go func() { d <- f.exchangeVersions(ctx, i) }()
	}
	return func() {
		for range 2 * len(f.mirrors) {
			if err := <-d; err != nil {
				panic(err) // a copy could not be encoded or decoded
			}
		}
	}
}

// exchangeVersions sends the state of host i to the other hosts once per heartbeat interval.
func (f *fleet) exchangeVersions(ctx context.Context, i int) error {
	clock.Sleep(time.Duration(i) * heartbeatInterval / time.Duration(len(f.mirrors)))
	for ctx.Err() == nil {
		for j, m := range f.mirrors {
			if j == i || f.isolated {
				continue
			}
			f.fresh[j].RecordRemoteAge(f.fresh[i].OwnAge())
			m.SetHostsVersion(f.mirrors[i].Version())
			if d, behind := m.PeerCopyDelay(); behind && d == 0 {
				_, b, err := f.mirrors[i].Content(m.ContentVersion())
				if err == nil {
					err = m.ApplyPeerCopy(b)
				}
				if err != nil {
					return err
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-clock.After(heartbeatInterval):
		}
	}
	return nil
}

// change writes a new row.
func (f *fleet) change() uint64 {
	f.puts++
	return f.store.Put(fmt.Sprint(f.puts), nil)
}

// countBehind returns how many hosts lack a version. A host whose version has
// decreased adds the number of all hosts, so that the test fails.
func (f *fleet) countBehind(version uint64) int {
	n := 0
	for i, m := range f.mirrors {
		v := m.Version()
		if v < version {
			n++
		}
		if v < f.highestSeen[i] {
			n += len(f.mirrors) // the version has decreased
		}
		f.highestSeen[i] = v
	}
	return n
}

// changeAfterSilence makes a change at a random time after an outage, and returns
// how many hosts lack it when it is due: changeDeadline after the change, and
// recoveryDeadline after the outage.
func (f *fleet) changeAfterSilence(r *rand.Rand) int {
	p := time.Duration(r.Int64N(int64(4 * time.Second)))
	clock.Sleep(p)
	v := f.change()
	clock.Sleep(max(changeDeadline, recoveryDeadline-p))
	return f.countBehind(v)
}

// keepChanging changes another table of the same store continuously. Calls for that
// table are answered often, which proves nothing about the long polls for the
// table under test.
func keepChanging(ctx context.Context, f *fleet, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		f.change()
		select {
		case <-ctx.Done():
		case <-clock.After(700 * time.Millisecond):
		}
	}
}

// simulateShortSilences simulates outages shorter than StoreTimeout while another table
// changes continuously, and returns how many hosts lacked a change of the
// table under test when it was due. If sharedFreshness is set, hosts count an answer on either
// table for both.
func simulateShortSilences(seed uint64, sharedFreshness bool) int {
	r := rand.New(rand.NewPCG(seed, 0))
	n := 1 + r.IntN(8)
	q, b := newFleet(n, true), newFleet(n, true)
	if sharedFreshness {
		for i, m := range q.mirrors {
			m.StoreFreshness = b.fresh[i]
		}
		q.fresh = b.fresh
	}
	ctx, stop := context.WithCancel(context.Background())
	wq, wb := q.run(ctx), b.run(ctx)
	d := make(chan struct{})
	go keepChanging(ctx, b, d)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(i))
	}
	late := 0
	for range 3 {
		clock.Sleep(time.Duration(r.Int64N(int64(longPollWait))))
		q.store.SetMuted(true, all...)
		b.store.SetMuted(true, all...)
		clock.Sleep(time.Duration(r.Int64N(int64(trustPeriod))))
		q.store.SetMuted(false, all...)
		b.store.SetMuted(false, all...)
		late += q.changeAfterSilence(r)
	}
	stop()
	wq()
	wb()
	<-d
	return late
}

// The store does not respond for a moment, and the long polls on one table are
// never answered. The other table changes often, so all hosts receive answers from
// the store. If hosts took these as a sign that their long polls on the first table
// still work, they would use a backend server for 2.7 s after it has left.
func TestAnswersOnAnotherTableDoNotCount(t *testing.T) {
	useOneProcessor(t)
	lateWithSharedFreshness := 0
	for s := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, simulateShortSilences(s, false), must.Sprint("seed ", s))
		})
		synctest.Test(t, func(*testing.T) { lateWithSharedFreshness += simulateShortSilences(s, true) })
	}
	must.Positive(t, lateWithSharedFreshness)
}

// simulateSilences simulates one random schedule: outages of any length for some or all
// hosts, and changes at any time. It returns how often a host lacked a change when
// it was due: changeDeadline after the change, and recoveryDeadline after the last
// outage before that.
func simulateSilences(seed uint64, abortLongPolls, isolated bool) int {
	r := rand.New(rand.NewPCG(seed, 0))
	n := 1 + r.IntN(8)
	f := newFleet(n, abortLongPolls)
	f.isolated = isolated
	ctx, stop := context.WithCancel(context.Background())
	wait := f.run(ctx)
	clock.Sleep(time.Duration(r.Int64N(int64(longPollWait))))
	late := 0
	for range 2 + r.IntN(3) {
		var h []string
		for i := range n {
			if r.IntN(4) > 0 {
				h = append(h, fmt.Sprint(i))
			}
		}
		f.store.SetMuted(true, h...)
		for range r.IntN(3) {
			clock.Sleep(time.Duration(r.Int64N(int64(6 * time.Second))))
			f.change()
		}
		clock.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
		f.store.SetMuted(false, h...)
		late += f.changeAfterSilence(r)
		clock.Sleep(time.Duration(r.Int64N(int64(longPollWait))))
	}
	stop()
	wait()
	return late
}

// The store stops responding for some or all hosts: it accepts calls and answers none,
// including those already open. Callers are then served by outdated data, such as
// withdrawn keys or moved routes. Changes made during or after the outage must reach all
// hosts in time, however long a long poll waits normally, and no host may return to an
// older version. Hosts that never abort long polls do not meet these bounds.
func TestChangesArriveAfterSilentStore(t *testing.T) {
	useOneProcessor(t)
	lateWithoutAbort := 0
	for s := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, simulateSilences(s, true, false), must.Sprint("seed ", s))
		})
		synctest.Test(t, func(*testing.T) { lateWithoutAbort += simulateSilences(s, false, false) })
	}
	must.Positive(t, lateWithoutAbort)
}

// The check of TestChangesArriveAfterSilentStore without heartbeats between
// hosts: each host must detect the outage itself.
func TestChangesArriveAtIsolatedHosts(t *testing.T) {
	useOneProcessor(t)
	for s := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, simulateSilences(s, true, true), must.Sprint("seed ", s))
		})
	}
}
