package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

const (
	// endingPart is in the path of requests under which a backend server ends, and depositPart in
	// that of those which are not idempotent as well.
	endingPart  = "/ends/"
	depositPart = "deposit"
	// maxEnded is how many backend servers may end under the same request, over all hosts
	// and all that its callers send, before it is sent to none.
	maxEnded = 3
	// comeBackDelay is how long callers wait when they are told no time to come back.
	comeBackDelay = 100 * time.Millisecond
	// stopTime is how long after the last end a request is sent to none at least. Then it may be
	// tried again, since a release may have mended what it sets off.
	stopTime = 20 * time.Second
	// rejoinTime is how long after it was joined to the others again a host may not know yet
	// what they know.
	rejoinTime = 3 * time.Second
	// sometimesPart begins the names of requests under which a backend server ends one time in
	// three, and sometimesShare is that.
	sometimesPart  = "sometimes"
	sometimesShare = 1.0 / 3
	// endingNames is the number of requests of each kind under which backend servers end in a
	// play, and playInterval the mean time between two things that happen in it.
	endingNames  = 3
	playInterval = 700 * time.Millisecond
	// atOnce is how long a request may take that is not sent.
	atOnce = 10 * time.Millisecond
)

// endings records how backend servers end under requests, over all backend servers.
type endings struct {
	mu     sync.Mutex
	downs  time.Duration // how long a backend server that ended is down; zero ends none
	silent bool          // its connections deliver nothing instead of being reset
	share  float64       // of the runs under which it ends
	ended  map[string][]string
	// restarts are the timers by which backend servers that ended start again.
	restarts []clockwork.Timer
	down     map[string]bool            // addresses of backend servers that are down
	joined   map[string]time.Time       // when hosts were last joined to the others; zero while they are cut off
	lastAt   map[string]time.Time       // when the last one ended
	endedAt  map[string]time.Time       // when the one with number maxEnded ended
	later    map[string][]time.Duration // arrivals after that, by path
	finals   map[string]string          // what is wrong with a final answer, empty if nothing is
}

// arrive records that a request of a host has reached a backend server. A host that is cut off
// from the others, or was lately, does not know of all ends.
func (e *endings) arrive(path, host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.joined[host]; ok && (t.IsZero() || clock.Since(t) < rejoinTime) {
		return
	}
	if len(e.ended[path]) >= maxEnded && clock.Since(e.lastAt[path]) < stopTime {
		e.later[path] = append(e.later[path], clock.Since(e.endedAt[path]))
	}
}

// end records that a backend server has ended under a request, and returns for how long it is
// down; ok is false if it goes on.
func (e *endings) end(path, backend string, random float64) (d time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.share
	if strings.Contains(path, sometimesPart) {
		v = sometimesShare
	}
	if e.downs == 0 || random >= v {
		return 0, false
	}
	if e.ended == nil {
		e.lastAt = make(map[string]time.Time)
		e.ended, e.endedAt, e.later = make(map[string][]string), make(map[string]time.Time), make(map[string][]time.Duration)
	}
	e.lastAt[path] = clock.Now()
	if e.ended[path] = append(e.ended[path], backend); len(e.ended[path]) == maxEnded {
		e.endedAt[path] = clock.Now()
	}
	return e.downs, true
}

// excess describes the requests that were sent to backend servers more than grace after
// maxEnded had ended under them.
func (e *endings) excess(grace time.Duration) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []string
	for p, v := range e.later {
		n := len(slices.DeleteFunc(slices.Clone(v), func(d time.Duration) bool { return d < grace }))
		if n > 0 {
			l = append(l, fmt.Sprintf("%s was sent %d more times after %d backend servers had ended under it; ended in all: %s",
				p, n, maxEnded, strings.Join(e.ended[p], " ")))
		}
	}
	slices.Sort(l)
	return strings.Join(l, "; ")
}

// recordFinal records the answer with which a caller does not come back.
func (e *endings) recordFinal(name string, o outcome.Outcome, took time.Duration) {
	v := ""
	if o.Outcome != outcome.Answered && took > atOnce {
		v = fmt.Sprintf("%s after %s", o.Outcome, took)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finals == nil {
		e.finals = make(map[string]string)
	}
	e.finals[name] = v
}

// checkFinal describes why a caller is not known to have got a final answer at once.
func (e *endings) checkFinal(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, ok := e.finals[name]
	if !ok {
		return "no answer is final"
	}
	return v
}

// stopServer ends the process of a backend server: its connections break, new ones are refused, and
// after d another process has its name and address.
func (w *deployment) stopServer(s *server, d time.Duration, silent bool) {
	state := linkResets
	if silent {
		state = linkHangs
	}
	if !silent {
		defer w.resetAll(s)
	}
	w.endings.mu.Lock()
	defer w.endings.mu.Unlock()
	if w.endings.down == nil {
		w.endings.down = make(map[string]bool)
	}
	if w.endings.down[s.backend.Address] {
		return
	}
	w.endings.down[s.backend.Address] = true
	for _, m := range w.members {
		w.network.links.set(link{m.Name, s.backend.Address}, state)
	}
	w.endings.restarts = append(w.endings.restarts, clock.AfterFunc(d, func() {
		w.endings.mu.Lock()
		w.endings.down[s.backend.Address] = false
		w.endings.mu.Unlock()
		for _, m := range w.members {
			w.network.links.set(link{m.Name, s.backend.Address}, "")
		}
		w.resetAll(s) // what was open belongs to the process before
		s.restart()
		if err := w.writeEntry(s.backend); err != nil {
			panic(err) // the test wrote it
		}
	}))
}

// resetAll closes the connections of all hosts to a backend server.
func (w *deployment) resetAll(s *server) {
	for _, m := range w.members {
		w.network.reset(m.Name, s.backend.Address)
	}
}

func (e *endings) isDown(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down[address]
}

// setJoined records that a host is cut off from the others or joined to them again.
func (e *endings) setJoined(host string, joined bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.joined == nil {
		e.joined = make(map[string]time.Time)
	}
	e.joined[host] = time.Time{}
	if joined {
		e.joined[host] = clock.Now()
	}
}

// stopRestarts leaves the backend servers down that are.
func (e *endings) stopRestarts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.restarts {
		t.Stop()
	}
}

// runEndingCommand runs one command for backend servers that end under requests:
//
//	ending DURATION SHARE [silent] backend servers end under that share of the requests with endingPart, for that time
//	come NAME COPIES HOST,HOST... callers send such a request, and come back at the next host until the answer is final
//	ended NAME LEAST MOST         checks how many backend servers ended under it
//	final NAME                    checks that its caller got a final answer, without waiting
//	endings GRACE                 checks that no request was sent on later than GRACE after maxEnded backend servers had ended under it
//	play DURATION                 lets requests end backend servers, some always, some one time in three, while other things happen
//	harmless SHARE                checks that no larger share of the other requests was refused as if backend servers ended under them
//	stop BACKEND,... DURATION     these backend servers end at the same time
func (w *deployment) runEndingCommand(command string, a []string) (string, error) {
	switch command {
	case "ending":
		d, err := time.ParseDuration(a[0])
		if err != nil {
			return "", err
		}
		v, err := strconv.ParseFloat(a[1], 64)
		w.endings.mu.Lock()
		w.endings.downs, w.endings.share, w.endings.silent = d, v, len(a) > 2
		w.endings.mu.Unlock()
		return "", err
	case "come":
		n, err := strconv.Atoi(a[1])
		for i := range n {
			h := strings.Split(a[2], ",")
			w.startReturning(a[0], append(h[i%len(h):], h[:i%len(h)]...))
		}
		return "", err
	case "ended":
		return w.checkEnded(a)
	case "endings":
		d, err := time.ParseDuration(a[0])
		return w.endings.excess(d), err
	case "final":
		return w.endings.checkFinal(a[0]), nil
	case "play":
		d, err := time.ParseDuration(a[0])
		w.playEndings(d)
		return "", err
	case "harmless":
		v, err := strconv.ParseFloat(a[0], 64)
		return w.checkHarmless(v), err
	case "stop":
		d, err := time.ParseDuration(a[1])
		for _, n := range strings.Split(a[0], ",") {
			w.stopServer(w.servers[n], d, false)
		}
		return "", err
	default:
		return "", errors.Errorf("no such command or backend server: %s %s", command, a)
	}
}

// playEndings lets requests end backend servers for a time while others of these crash and
// hosts are cut off or lose their links, at random.
func (w *deployment) playEndings(d time.Duration) {
	r := rand.New(rand.NewPCG(w.seed, 2))
	host := func() string { return w.members[r.IntN(len(w.members))].Name }
	for u := clock.Now().Add(d); clock.Now().Before(u); {
		clock.Sleep(time.Duration(r.ExpFloat64() * float64(playInterval)))
		v := time.Second + time.Duration(r.Int64N(int64(2*time.Second)))
		switch h := host(); r.IntN(7) {
		case 0, 1, 2:
			n := fmt.Sprintf("%s%d", []string{"a", sometimesPart, depositPart}[r.IntN(3)], r.IntN(endingNames))
			w.startReturning(n, []string{h, host(), host(), host(), host()})
		case 3:
			for _, s := range w.servers {
				if r.IntN(3) == 0 {
					w.stopServer(s, v, false)
				}
			}
		case 4, 5:
			w.setLinks(h, []string{linkResets, linkHangs, linkKeeps}[r.IntN(3)], nil)
			clock.Sleep(v)
			w.setLinks(h, "", nil)
		case 6:
			w.cutOff(h, true)
			clock.Sleep(v)
			w.cutOff(h, false)
		}
	}
}

// cutOff cuts a host off from the others, or joins it to them again.
func (w *deployment) cutOff(host string, cut bool) {
	w.network.setCut(host, cut)
	w.endings.setJoined(host, !cut)
}

// checkHarmless describes the requests without endingPart that were refused as if backend servers
// ended under them, if they are more than a share.
func (w *deployment) checkHarmless(share float64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.calls {
		if c.outcome == outcome.Quarantined {
			n++
		}
	}
	if float64(n) > share*float64(len(w.calls)) {
		w.report(w.logged("request quarantined"))
		return fmt.Sprintf("%d of %d", n, len(w.calls))
	}
	return ""
}

// checkEnded describes how many backend servers ended under a request, empty if the number is
// between two bounds.
func (w *deployment) checkEnded(a []string) (string, error) {
	least, err := strconv.Atoi(a[1])
	if err != nil {
		return "", err
	}
	most, err := strconv.Atoi(a[2])
	w.endings.mu.Lock()
	defer w.endings.mu.Unlock()
	if l := w.endings.ended[endingTarget(a[0])]; len(l) < least || len(l) > most {
		return fmt.Sprintf("%d backend servers ended: %s", len(l), strings.Join(l, " ")), err
	}
	return "", err
}

// startReturning starts a caller that sends a request and comes back until the answer is
// final or the script ends.
func (w *deployment) startReturning(name string, hosts []string) {
	ctx, f := context.WithCancel(context.Background())
	d := make(chan struct{})
	stop := w.stopCallers
	w.stopCallers = func() {
		f()
		<-d
		stop()
	}
	go func() {
		defer close(d)
		for i := 0; ctx.Err() == nil; i++ {
			t := clock.Now()
			o, sent := w.sendEnding(ctx, name, hosts[i%len(hosts)])
			// A refusal of what has run or may run invites nobody to come back.
			if o.Outcome == outcome.Answered || !sent && o.Ran != outcome.RanNo && o.RetryAfter == 0 && ctx.Err() == nil {
				w.endings.recordFinal(name, o, clock.Since(t))
				return
			}
			select {
			case <-ctx.Done():
			case <-clock.After(max(o.RetryAfter, comeBackDelay)):
			}
		}
	}()
}

// endingTarget returns the path of the request of that name.
func endingTarget(name string) string {
	if strings.HasPrefix(name, depositPart) {
		return strings.TrimSuffix(enrolPath, "/") + endingPart + name
	}
	return strings.TrimSuffix(listingPath, "/") + endingPart + name
}

// sendEnding sends a request with endingPart once, and reports whether a backend server may
// have received it.
func (w *deployment) sendEnding(ctx context.Context, name, host string) (o outcome.Outcome, sent bool) {
	w.mu.Lock()
	w.endingCount++
	id := fmt.Sprintf("ending-%d", w.endingCount)
	w.mu.Unlock()
	p, k := endingTarget(name), ""
	r := &request.Request{
		ID: id, Host: callerHost, Method: http.MethodGet, Target: p, Object: name,
		Header: make(http.Header), Deadline: clock.Now().Add(requestTimeout),
	}
	if strings.HasPrefix(name, depositPart) {
		k = kinds["enrol"].key
		r.Method, r.Length, r.Body = http.MethodPost, int64(len(name)), strings.NewReader(name)
		if err := r.BufferBody(maxBuffered); err != nil {
			panic(err) // the body is in memory
		}
	}
	t := clock.Now()
	r.Header.Set(sentHeader, strconv.FormatInt(t.UnixNano(), 10))
	w.repeats.send()
	o = w.hosts[host].Gateway.Serve(ctx, r, p, k, httptest.NewRecorder())
	w.runs.end(id, o.Ran == outcome.RanNo)
	w.report(fmt.Sprintf("%s %s at %s: %s, %s, %q after %s, sent to %v", t.Format("05.000"), p, host, o.Outcome, o.Ran, o.Message, clock.Since(t), r.AttemptedBackends.Received()))
	return o, len(r.AttemptedBackends.Names()) > 0
}

// Guards against a request under which backend servers end and that hosts send to one after
// another, each time its caller comes back.
func TestRequestThatEndsBackendsIsStopped(t *testing.T) {
	for _, n := range []string{"ending", "ending-copies", "ending-silent", "ending-deposit", "ending-cut", "ending-late-host", "ending-sometimes"} {
		t.Run(n, func(t *testing.T) { runLinkScript(t, n, "") })
	}
	for _, s := range []string{linkResets, linkHangs, linkKeeps} {
		t.Run("ending-hop/"+s, func(t *testing.T) { runLinkScript(t, "ending-hop", s) })
	}
}

// Guards against a response without end that hosts read on after the deadline, that its caller
// takes for complete, or that keeps others from being served, also over the hop.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, s := range []string{linkResets, linkHangs, linkKeeps} {
		t.Run(s, func(t *testing.T) { runLinkScript(t, "endless", s) })
	}
	t.Run("all", func(t *testing.T) { runLinkScript(t, "endless-all", "") })
}

// Guards against requests that end one backend server after the other, whatever happens at the
// same time.
func TestEndingsAtRandom(t *testing.T) { runLinkScript(t, "ending-play", "") }

// Guards against harmless requests that are refused because they were running, at the same time
// at several hosts, when backend servers ended for another reason.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	for _, n := range []string{"ending-crash", "ending-crash-early", "ending-resets", "ending-play-harmless"} {
		t.Run(n, func(t *testing.T) { runLinkScript(t, n, "") })
	}
}
