package edge_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/outcome"
)

// States of a link from a host to a backend server. While it is not whole, no connection
// can be opened.
const (
	linkResets = "resets" // open connections are reset, new ones refused
	linkHangs  = "hangs"  // open connections deliver nothing, new ones time out
	linkKeeps  = "keeps"  // open connections live on, new ones are refused
)

// links are the states of the links between hosts and backend servers.
type links struct {
	mu    sync.Mutex
	state map[link]string
	gates map[link]*gate
}

type link struct{ host, address string }

// gate holds up the bytes of the connections over a link. A nil gate is open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case open && g.closed != nil:
		close(g.closed)
		g.closed = nil
	case !open && g.closed == nil:
		g.closed = make(chan struct{})
	}
}

// pass waits until the gate is open.
func (g *gate) pass() {
	if g == nil {
		return
	}
	g.mu.Lock()
	c := g.closed
	g.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (g *gate) isOpen() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed == nil
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: errors.Errorf("connection refused: %s", address)}
}

// gate returns the gate of a link and the link's state.
func (l *links) gate(k link) (*gate, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gates == nil {
		l.gates, l.state = make(map[link]*gate), make(map[link]string)
	}
	if l.gates[k] == nil {
		l.gates[k] = new(gate)
	}
	return l.gates[k], l.state[k]
}

// set changes the state of a link; empty makes it whole.
func (l *links) set(k link, state string) {
	g, _ := l.gate(k)
	g.set(state != linkHangs)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state[k] = state
}

func (l *links) restoreAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, g := range l.gates {
		l.state[k] = ""
		g.set(true)
	}
}

// dialBackend opens a connection from a host to a backend server.
func (n *memoryNetwork) dialBackend(ctx context.Context, host, region, address string) (net.Conn, error) {
	g, s := n.links.gate(link{host, address})
	switch s {
	case linkHangs:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case linkResets, linkKeeps:
		return nil, refused(address)
	}
	return n.open(ctx, host, region, address, g)
}

// setLinks changes the state of the links between a host and backend servers.
func (w *deployment) setLinks(host, state string, servers []string) {
	for n, s := range w.servers {
		if len(servers) > 0 && !slices.Contains(servers, n) {
			continue
		}
		if w.endings.isDown(s.backend.Address) {
			continue // also once the links are whole again
		}
		w.network.links.set(link{host, s.backend.Address}, state)
		if state == linkResets {
			w.network.reset(host, s.backend.Address)
		}
	}
}

// reset closes the connections from a host to an address.
func (n *memoryNetwork) reset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.conns {
		if p.from == from && p.to == to {
			p.close()
		}
	}
}

// runLinkCommand runs one command for the links between hosts and backend servers:
//
//	lose HOST,HOST... STATE [BACKEND...]  their links to these backend servers, or to all, are lost
//	regain HOST,HOST...                   all their links are whole again
//	kinds KIND...                         callers send requests of these kinds
//	served HOST,HOST... SHARE DURATION    checks that they served at least this share of what was sent to them in that time
//	fast HOST,HOST... SHARE DURATION      the same of what was answered within the objective
//	home REGION                           the next version moves the home of requests with homes there
//	attempts kept                         checks that no request was sent to more backend servers than its route allows
//	refusing HOST,HOST... DURATION        checks that all requests to them in that time were refused within 10 ms, with a time
//
// All others are those of runEndingCommand.
func (w *deployment) runLinkCommand(command string, a []string) (string, error) {
	switch command {
	case "lose":
		for _, h := range strings.Split(a[0], ",") {
			w.setLinks(h, a[1], a[2:])
		}
	case "regain":
		for _, h := range strings.Split(a[0], ",") {
			w.setLinks(h, "", nil)
		}
	case "kinds":
		w.mu.Lock()
		w.kinds = a
		w.mu.Unlock()
	case "home":
		w.runs.moveHome(a[0])
	case "attempts":
		return w.attempts.excess(), nil
	case "served", "fast":
		return w.checkServed(strings.Split(a[0], ","), a[1], a[2], command == "fast")
	case "refusing":
		return w.checkRefusing(strings.Split(a[0], ","), a[1])
	default:
		return w.runEndingCommand(command, a)
	}
	return "", nil
}

// checkServed describes what hosts served of the requests that were sent to them during
// the last d, empty if that is at least a share of them. Requests of callers that left and
// those that a backend server broke off and that must not be repeated don't count.
func (w *deployment) checkServed(hosts []string, share, d string, fast bool) (string, error) {
	v, err := strconv.ParseFloat(share, 64)
	if err != nil {
		return "", err
	}
	u, err := time.ParseDuration(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	n, k := 0, 0
	o := make(map[string]int)
	for _, c := range w.calls {
		if !slices.Contains(hosts, c.host) || clock.Since(c.sent) >= u || c.left {
			continue
		}
		if c.outcome == outcome.OutcomeUnknown && w.runs.isBroken(c.id) {
			continue
		}
		n++
		if c.outcome == outcome.Answered && (!fast || c.took <= routes[0].Objective) {
			k++
			continue
		}
		o[c.outcome+" "+c.message]++
	}
	if n == 0 || float64(k) < v*float64(n) {
		w.report(w.logged("backend server ended under a request"))
		w.report(w.logged("request quarantined"))
		return fmt.Sprintf("%d of %d served; %v", k, n, o), err
	}
	return "", err
}

// checkRefusing describes a request sent to hosts during the last d that was not refused
// at once, with a time to come back.
func (w *deployment) checkRefusing(hosts []string, d string) (string, error) {
	u, err := time.ParseDuration(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.calls {
		if !slices.Contains(hosts, c.host) || clock.Since(c.sent) >= u || c.left {
			continue
		}
		if n++; c.outcome != outcome.NoCapacity || c.took > 10*time.Millisecond || c.retryAfter <= 0 {
			return fmt.Sprintf("a request ended after %s with %s, %s, %s", c.took, c.outcome, c.message, c.retryAfter), err
		}
	}
	if n == 0 {
		return "no request ended", err
	}
	return "", err
}

// Guards against hosts that lose their links to all or most backend servers and refuse
// their callers although other hosts reach them all.
func TestHostsWithoutLinksServe(t *testing.T) {
	for _, n := range []string{"links-one-host", "links-most-of-region", "links-region", "links-some"} {
		for _, s := range []string{linkResets, linkHangs, linkKeeps} {
			t.Run(n+"/"+s, func(t *testing.T) { runLinkScript(t, n, s) })
		}
	}
}

// Guards against a forwarded request that runs twice, is reported as not run after it ran,
// loses its body, leaves its homes, or goes on after its caller has left.
func TestForwardedRequestsKeepPromises(t *testing.T) {
	for _, n := range []string{"links-kinds", "links-beside-faults"} {
		for _, s := range []string{linkResets, linkHangs, linkKeeps} {
			t.Run(n+"/"+s, func(t *testing.T) { runLinkScript(t, n, s) })
		}
	}
}

// Guards against a forwarded request that any region may serve at the other host, since the
// last backend server of its homes was dropped while it was forwarded.
func TestHomesWithoutBackendsBindForwardedRequests(t *testing.T) {
	for _, s := range []string{linkResets, linkHangs, linkKeeps} {
		t.Run(s, func(t *testing.T) { runLinkScript(t, "links-homes", s) })
	}
}

// Guards against requests that are tried again, by a host or by net/http, where an earlier
// version of the configuration, or the earlier place of a backend server, let them go.
func TestHomesBindLaterTries(t *testing.T) {
	for _, n := range []string{"homes-moved", "homes-server-moved"} {
		t.Run(n, func(t *testing.T) { runLinkScript(t, n, "") })
	}
}

// Guards against hosts that wait, or forward requests in a circle, when no host reaches a
// backend server.
func TestNoHostReachesBackends(t *testing.T) {
	for _, s := range []string{linkResets, linkHangs} {
		t.Run(s, func(t *testing.T) { runLinkScript(t, "links-all-hosts", s) })
	}
}

// seeds returns how many seeds to play: n, or as many as the environment variable SEEDS says.
func seeds(t *testing.T, n int) int {
	s := os.Getenv("SEEDS")
	if s == "" {
		return n
	}
	v, err := strconv.Atoi(s)
	must.NoError(t, err)
	return v
}

// runLinkScript runs a script in which STATE is the state of lost links, with one seed or as
// many as SEEDS says.
func runLinkScript(t *testing.T, name, state string) {
	runInBubbles(t, name, seeds(t, 1), func(t *testing.T, script string, i int) {
		runScript(t, strings.ReplaceAll(script, "STATE", state), 0, uint64(i))
	})
}
