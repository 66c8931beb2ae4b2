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

// wall is the time of the bubble in which a test runs.
var wall = clockwork.NewRealClock()

// oneProcessor keeps a test on one processor. The race detector of the Go runtime
// crashes, with a segmentation violation or a failed check of its own, when timers of
// a bubble fire on several at once. It finds races by what happens before what, not by
// what runs beside what, so it still finds them on one.
func oneProcessor(t *testing.T) {
	t.Helper()
	n := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(n) })
}

// The bounds of a deployment: contact is how long after the end of a trouble hosts
// must know again what is in force, apply how long a change may take otherwise.
const (
	contact = 3 * time.Second
	apply   = 2500 * time.Millisecond
	trust   = contact - 800*time.Millisecond
	beat    = time.Second
	long    = 10 * time.Second
)

// fleet is hosts that follow one store and hear from each other each second.
type fleet struct {
	store   *feedstandin.Feedstandin
	mirrors []*mirror.Mirror
	fresh   []*freshness.Freshness
	back    []uint64 // the newest version that a host ever showed
	apart   bool     // hosts do not hear from each other
	puts    int
}

func newFleet(hosts int, doubting bool) *fleet {
	f := &fleet{store: feedstandin.New(wall), back: make([]uint64, hosts)}
	f.store.Put("0", nil)
	c := wall
	for i := range hosts {
		w := long
		if i == 0 && doubting {
			w = trust - beat - 200*time.Millisecond
		}
		m := &mirror.Mirror{
			Clock: c, Log: log.New(io.Discard), Name: "Config", Wait: func() time.Duration { return w },
			Reply: contact / 3, Trust: trust, Changed: func(map[string]row.Row, time.Time) {},
		}
		f.fresh = append(f.fresh, &freshness.Freshness{Clock: c})
		if doubting {
			m.Store = f.fresh[i]
		}
		m.Feed = func(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
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
		go func() { d <- f.gossip(ctx, i) }()
	}
	return func() {
		for range 2 * len(f.mirrors) {
			if err := <-d; err != nil {
				panic(err) // a copy of plain data did not pass
			}
		}
	}
}

// gossip tells the other hosts once a beat what host i knows.
func (f *fleet) gossip(ctx context.Context, i int) error {
	wall.Sleep(time.Duration(i) * beat / time.Duration(len(f.mirrors)))
	for ctx.Err() == nil {
		for j, m := range f.mirrors {
			if j == i || f.apart {
				continue
			}
			f.fresh[j].Heard(f.fresh[i].Own())
			if m.Wants(f.mirrors[i].Version()) {
				_, b, err := f.mirrors[i].Content()
				if err == nil {
					err = m.Adopt(b)
				}
				if err != nil {
					return err
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-wall.After(beat):
		}
	}
	return nil
}

// change writes a row that was not there.
func (f *fleet) change() uint64 {
	f.puts++
	return f.store.Put(fmt.Sprint(f.puts), nil)
}

// late returns how many hosts lack a version.
func (f *fleet) late(version uint64) int {
	n := 0
	for i, m := range f.mirrors {
		v := m.Version()
		if v < version {
			n++
		}
		if v < f.back[i] {
			n += len(f.mirrors) // it went back
		}
		f.back[i] = v
	}
	return n
}

// changeAfterSilence makes a change at a random moment after a silence, and returns how
// many hosts lack it when it is due: apply after it was made, and contact after the
// silence.
func (f *fleet) changeAfterSilence(r *rand.Rand) int {
	p := time.Duration(r.Int64N(int64(4 * time.Second)))
	wall.Sleep(p)
	v := f.change()
	wall.Sleep(max(apply, contact-p))
	return f.late(v)
}

// busy changes another table of the same store all the while. Its calls are answered
// often, which proves nothing for those that wait on the quiet table.
func busy(ctx context.Context, f *fleet, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		f.change()
		select {
		case <-ctx.Done():
		case <-wall.After(700 * time.Millisecond):
		}
	}
}

// shortSilence plays silences shorter than Trust beside a busy table, and returns how
// many hosts lacked a change of the quiet one when it was due. With shared set hosts
// take an answer on either table for both.
func shortSilence(seed uint64, shared bool) int {
	r := rand.New(rand.NewPCG(seed, 0))
	n := 1 + r.IntN(8)
	q, b := newFleet(n, true), newFleet(n, true)
	if shared {
		for i, m := range q.mirrors {
			m.Store = b.fresh[i]
		}
		q.fresh = b.fresh
	}
	ctx, stop := context.WithCancel(context.Background())
	wq, wb := q.run(ctx), b.run(ctx)
	d := make(chan struct{})
	go busy(ctx, b, d)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(i))
	}
	late := 0
	for range 3 {
		wall.Sleep(time.Duration(r.Int64N(int64(long))))
		q.store.Mute(true, all...)
		b.store.Mute(true, all...)
		wall.Sleep(time.Duration(r.Int64N(int64(trust))))
		q.store.Mute(false, all...)
		b.store.Mute(false, all...)
		late += q.changeAfterSilence(r)
	}
	stop()
	wq()
	wb()
	<-d
	return late
}

// The store falls silent for a moment, and calls on one table that were open are never
// answered. The other table changes often, so that all hosts hear of answers of the
// store; a backend server that leaves was used for 2.7 s by hosts that took these for
// a sign that their own calls are sound.
func TestAnswersOnAnotherTableProveNothing(t *testing.T) {
	oneProcessor(t)
	shared := 0
	for s := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, shortSilence(s, false), must.Sprint("seed ", s))
		})
		synctest.Test(t, func(*testing.T) { shared += shortSilence(s, true) })
	}
	must.Positive(t, shared)
}

// silence plays one schedule: silences of some hosts or all, of any length, and
// changes at any moment. It returns how often a host lacked a change when it was due:
// apply after it was made, and contact after the last silence of that time.
func silence(seed uint64, doubting, apart bool) int {
	r := rand.New(rand.NewPCG(seed, 0))
	n := 1 + r.IntN(8)
	f := newFleet(n, doubting)
	f.apart = apart
	ctx, stop := context.WithCancel(context.Background())
	wait := f.run(ctx)
	wall.Sleep(time.Duration(r.Int64N(int64(long))))
	late := 0
	for range 2 + r.IntN(3) {
		var h []string
		for i := range n {
			if r.IntN(4) > 0 {
				h = append(h, fmt.Sprint(i))
			}
		}
		f.store.Mute(true, h...)
		for range r.IntN(3) {
			wall.Sleep(time.Duration(r.Int64N(int64(6 * time.Second))))
			f.change()
		}
		wall.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
		f.store.Mute(false, h...)
		late += f.changeAfterSilence(r)
		wall.Sleep(time.Duration(r.Int64N(int64(long))))
	}
	stop()
	wait()
	return late
}

// The store falls silent for some hosts or for all: it takes calls and answers none,
// also those that were open. Callers are then served by what the operator has changed
// since: withdrawn keys, moved routes. Changes that come during the silence or after
// it must be in force in time everywhere, however long a call waits when all is well,
// and nothing goes back. Hosts that trust their waiting calls are caught by it.
func TestNoHostStaysSilent(t *testing.T) {
	oneProcessor(t)
	old := 0
	for s := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, silence(s, true, false), must.Sprint("seed ", s))
		})
		synctest.Test(t, func(*testing.T) { old += silence(s, false, false) })
	}
	must.Positive(t, old)
}

// The same while hosts do not hear from each other: each must find out by itself.
func TestAHostAloneDoesNotStaySilent(t *testing.T) {
	oneProcessor(t)
	for s := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			must.EqOp(t, 0, silence(s, true, true), must.Sprint("seed ", s))
		})
	}
}
