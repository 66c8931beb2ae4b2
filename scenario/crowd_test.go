package scenario_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/account"
)

const (
	callersPerHost = 3
	leaving        = 0.6
	depositing     = 0.3
	leaveWithin    = 4 * time.Millisecond
	callerPause    = 15 * time.Millisecond
	senders        = 15 // at once through each host in a burst
)

// crowd is callers in the background that judge what they get.
type crowd struct {
	world  *world
	cancel context.CancelFunc
	done   chan struct{}
	count  int

	mu       sync.Mutex
	endings  map[string]int
	deposits map[string]string // how each id ended, for its own caller
	wrong    []string
}

func crowds(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	if args[0] == "start" {
		w.crowd = begin(w, args[1], args[2:])
		return
	}
	w.crowd.stop(ts)
}

func begin(w *world, account string, hosts []string) *crowd {
	x, f := context.WithCancel(w.ctx)
	c := &crowd{world: w, cancel: f, done: make(chan struct{}), endings: make(map[string]int), deposits: make(map[string]string)}
	for _, h := range hosts {
		for i := range callersPerHost {
			c.count++
			r := rand.New(rand.NewPCG(uint64(i), uint64(c.count)))
			go c.caller(x, account, h, r)
		}
	}
	return c
}

func (c *crowd) caller(ctx context.Context, account, host string, r *rand.Rand) {
	defer func() { c.done <- struct{}{} }()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%s-%x-%d", account, host, r.Uint32(), n)
		x, f := context.WithCancel(c.world.ctx)
		if r.Float64() < leaving {
			x, f = context.WithTimeout(c.world.ctx, time.Duration(r.Int64N(int64(leaveWithin))))
		}
		if r.Float64() < depositing {
			c.deposit(x, account, host, id)
		} else {
			c.list(x, account, host, id)
		}
		f()
		select {
		case <-ctx.Done():
		case <-c.world.fleet.Clock.After(callerPause):
		}
	}
}

func (c *crowd) list(ctx context.Context, account, host, id string) {
	p := "/listings/" + id
	k, b, err := c.world.fleet.Send(ctx, host, account, http.MethodGet, p, "")
	e := ending(ctx, k, b, err)
	c.note(e)
	own := strings.Contains(b, " GET "+p+" ") && strings.HasSuffix(b, "\n.")
	if e == "answered" && !own {
		c.mu.Lock()
		c.wrong = append(c.wrong, fmt.Sprintf("%s got %q", p, b))
		c.mu.Unlock()
	}
}

func (c *crowd) deposit(ctx context.Context, account, host, id string) {
	k, b, err := c.world.fleet.Send(ctx, host, account, http.MethodPost, "/deposits/"+id, id)
	e := ending(ctx, k, b, err)
	c.note(e)
	c.mu.Lock()
	c.deposits[id] = e
	c.mu.Unlock()
}

func (c *crowd) note(e string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endings[e]++
}

// ending names how a request ended for its caller.
func ending(ctx context.Context, code int, body string, err error) string {
	switch {
	case err != nil && ctx.Err() != nil:
		return "left"
	case err != nil:
		return "broken"
	case code == http.StatusOK:
		return "answered"
	case strings.Contains(body, `"Ran":"no"`):
		return "not run"
	default:
		return "unknown"
	}
}

// stop ends the callers and judges: every answer was whole and the caller's
// own, no deposit ran twice, each answered one ran once, and each that was
// called "not run" did not run. It lets them go on until one was answered: on a
// busy machine the script can be through before any of them is.
func (c *crowd) stop(ts *testscript.TestScript) {
	ts.Check(c.world.fleet.Await(c.world.ctx, "an answer to one of the crowd", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.endings["answered"] > 0
	}))
	c.cancel()
	for range c.count {
		<-c.done
	}
	r := c.world.fleet.Runs()
	for id, e := range c.deposits {
		n := r[id]
		if n > 1 || e == "answered" && n != 1 || e == "not run" && n != 0 {
			c.wrong = append(c.wrong, fmt.Sprintf("deposit %s ended %q and ran %d times", id, e, n))
		}
	}
	if len(c.wrong) > 0 {
		ts.Fatalf("%d wrong: %s", len(c.wrong), c.wrong[0])
	}
	if c.endings["answered"] == 0 {
		ts.Fatalf("nobody was answered: %v", c.endings)
	}
	for _, e := range []string{"broken", "unknown"} {
		if c.endings[e] == 0 {
			fmt.Fprintf(ts.Stdout(), "no %s\n", e)
		}
	}
	ts.Logf("%v", c.endings)
}

// answers sends n requests one after another and counts the answers.
func (w *world) answers(host, account string, n int) int {
	k := 0
	for range n {
		if w.send([]string{host, account, http.MethodGet, "/listings/1"}) == "answered" {
			k++
		}
	}
	return k
}

// burst sends n requests through each host as fast as they go and fails if
// more were run than rate and burst allow for the time it took.
func burst(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	var a account.Account
	for _, v := range w.fleet.Config.Accounts {
		if v.Name == args[0] {
			a = v
		}
	}
	n := 0
	_, err := fmt.Sscan(args[1], &n)
	ts.Check(err)
	t := w.fleet.Clock.Now()
	d := make(chan int)
	g := 0
	for _, h := range args[2:] {
		for range senders {
			g++
			go func() { d <- w.answers(h, a.Name, n/senders) }()
		}
	}
	k := 0
	for range g {
		k += <-d
	}
	m := a.Burst + a.Rate*w.fleet.Clock.Since(t).Seconds()
	if float64(k) > m {
		ts.Fatalf("%d answered, %.1f allowed", k, m)
	}
	if k == 0 {
		ts.Fatalf("nobody was answered")
	}
	ts.Logf("%d answered, %.1f allowed", k, m)
}
