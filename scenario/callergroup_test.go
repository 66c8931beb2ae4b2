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
	callersPerHost  = 3
	cancelFraction  = 0.6
	depositFraction = 0.3
	maxCancelDelay  = 4 * time.Millisecond
	callerPause     = 15 * time.Millisecond
	sendersPerHost  = 15 // concurrent senders to each host in a burst
)

// callerGroup runs callers in the background and checks the responses that they
// receive.
type callerGroup struct {
	state  *scriptState
	cancel context.CancelFunc
	done   chan struct{}
	size   int

	mu              sync.Mutex
	outcomeCounts   map[string]int
	depositOutcomes map[string]string // outcome of each deposit by id
	violations      []string
}

func crowdCommand(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	if args[0] == "start" {
		w.callers = startCallers(w, args[1], args[2:])
		return
	}
	w.callers.stop(ts)
}

func startCallers(w *scriptState, account string, hosts []string) *callerGroup {
	x, f := context.WithCancel(w.ctx)
	c := &callerGroup{state: w, cancel: f, done: make(chan struct{}), outcomeCounts: make(map[string]int), depositOutcomes: make(map[string]string)}
	for _, h := range hosts {
		for i := range callersPerHost {
			c.size++
			r := rand.New(rand.NewPCG(uint64(i), uint64(c.size)))
			go c.runCaller(x, account, h, r)
		}
	}
	return c
}

func (c *callerGroup) runCaller(ctx context.Context, account, host string, r *rand.Rand) {
	defer func() { c.done <- struct{}{} }()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%s-%x-%d", account, host, r.Uint32(), n)
		x, f := context.WithCancel(c.state.ctx)
		if r.Float64() < cancelFraction {
			x, f = context.WithTimeout(c.state.ctx, time.Duration(r.Int64N(int64(maxCancelDelay))))
		}
		if r.Float64() < depositFraction {
			c.sendDeposit(x, account, host, id)
		} else {
			c.sendListing(x, account, host, id)
		}
		f()
		select {
		case <-ctx.Done():
		case <-c.state.fleet.Clock.After(callerPause):
		}
	}
}

func (c *callerGroup) sendListing(ctx context.Context, account, host, id string) {
	p := "/listings/" + id
	k, b, err := c.state.fleet.Send(ctx, host, account, http.MethodGet, p, "")
	e := classifyOutcome(ctx, k, b, err)
	c.countOutcome(e)
	own := strings.Contains(b, " GET "+p+" ") && strings.HasSuffix(b, "\n.")
	if e == "answered" && !own {
		c.mu.Lock()
		c.violations = append(c.violations, fmt.Sprintf("%s got %q", p, b))
		c.mu.Unlock()
	}
}

func (c *callerGroup) sendDeposit(ctx context.Context, account, host, id string) {
	k, b, err := c.state.fleet.Send(ctx, host, account, http.MethodPost, "/deposits/"+id, id)
	e := classifyOutcome(ctx, k, b, err)
	c.countOutcome(e)
	c.mu.Lock()
	c.depositOutcomes[id] = e
	c.mu.Unlock()
}

func (c *callerGroup) countOutcome(e string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomeCounts[e]++
}

// classifyOutcome returns the outcome of a request as its caller sees it.
func classifyOutcome(ctx context.Context, code int, body string, err error) string {
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

// stop ends the callers and checks their results: every response was complete
// and belonged to its request, no deposit ran twice, each answered deposit ran
// once, and each deposit reported as "not run" did not run. Before ending the
// callers, stop waits until at least one request has been answered, because on a
// busy machine the script can reach this point before any response.
func (c *callerGroup) stop(ts *testscript.TestScript) {
	ts.Check(c.state.fleet.Await(c.state.ctx, "a response to a background caller", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.outcomeCounts["answered"] > 0
	}))
	c.cancel()
	for range c.size {
		<-c.done
	}
	r := c.state.fleet.RunCounts()
	for id, e := range c.depositOutcomes {
		n := r[id]
		if n > 1 || e == "answered" && n != 1 || e == "not run" && n != 0 {
			c.violations = append(c.violations, fmt.Sprintf("deposit %s ended %q and ran %d times", id, e, n))
		}
	}
	if len(c.violations) > 0 {
		ts.Fatalf("%d violations, the first: %s", len(c.violations), c.violations[0])
	}
	if c.outcomeCounts["answered"] == 0 {
		ts.Fatalf("no request was answered: %v", c.outcomeCounts)
	}
	for _, e := range []string{"broken", "unknown"} {
		if c.outcomeCounts[e] == 0 {
			fmt.Fprintf(ts.Stdout(), "no %s\n", e)
		}
	}
	ts.Logf("%v", c.outcomeCounts)
}

// countAnswered sends n requests one after another and returns how many were
// answered.
func (w *scriptState) countAnswered(host, account string, n int) int {
	k := 0
	for range n {
		if w.send([]string{host, account, http.MethodGet, "/listings/1"}) == "answered" {
			k++
		}
	}
	return k
}

// burst sends n requests through each host as fast as possible and fails if
// more requests ran than the account's rate and burst allow in the elapsed
// time.
func burst(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
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
		for range sendersPerHost {
			g++
			go func() { d <- w.countAnswered(h, a.Name, n/sendersPerHost) }()
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
		ts.Fatalf("no request was answered")
	}
	ts.Logf("%d answered, %.1f allowed", k, m)
}
