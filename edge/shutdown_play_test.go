package edge_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"celeryreach.example/celeryreach/member"
)

const (
	// shutdownSeeds are played unless SEEDS says how many.
	shutdownSeeds = 2
	shutdownEvent = 2500 * time.Millisecond // between two on average
	longRate      = 30.0                    // requests a second
)

// runShutdownCommand runs the command for hosts that are told to stop, alone or together, and start
// again, beside a silent store and lost links, with callers of long requests. It passes others to
// runHostCommand.
//
//	shutdowns DURATION
func (w *deployment) runShutdownCommand(command string, a []string) (string, error) {
	if command != "shutdowns" {
		return w.runHostCommand(command, a)
	}
	d, err := time.ParseDuration(a[0])
	if err != nil {
		return "", err
	}
	w.shutdowns.process, w.shutdowns.report, w.shutdowns.linksLost = w.process, w.report, make(map[string][]period)
	w.startLongCallers()
	for _, v := range w.drawShutdowns(d) {
		clock.Sleep(clock.Until(v.at))
		v.do()
	}
	clock.Sleep(graceTime)
	w.stopCallers()
	w.stopCallers = func() {}
	return w.shutdowns.faults(), nil
}

// drawShutdowns returns what happens to the hosts.
func (w *deployment) drawShutdowns(d time.Duration) []laterEvent {
	r := rand.New(rand.NewPCG(w.seed, 3))
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a))) }
	up := make(map[string]time.Time) // when hosts run again
	var l []laterEvent
	add := func(at time.Time, f func()) { l = append(l, laterEvent{at: at, do: f}) }
	for t, end := clock.Now(), clock.Now().Add(d); t.Before(end); t = t.Add(time.Duration(r.ExpFloat64() * float64(shutdownEvent))) {
		hosts := w.drawHosts(r)
		switch r.IntN(6) {
		case 0:
			all := w.hostsOf(func(member.Member) bool { return true })
			add(t, func() { w.muteStore(true, all) })
			add(t.Add(between(time.Second, 8*time.Second)), func() { w.muteStore(false, all) })
		case 1:
			hosts = hosts[:min(len(hosts), 2)]
			state, p := []string{linkResets, linkHangs, linkKeeps}[r.IntN(3)], period{from: t, to: t.Add(between(4*time.Second, 12*time.Second))}
			for _, h := range hosts {
				w.shutdowns.linksLost[h] = append(w.shutdowns.linksLost[h], p)
				add(p.from, func() { w.setLinks(h, state, nil) })
				add(p.to, func() { w.setLinks(h, "", nil) })
			}
			t = t.Add(between(0, 3*time.Second))
		}
		overlap := between(time.Millisecond, 3*time.Second)
		for _, h := range hosts {
			at := t.Add(between(0, overlap))
			if at.Before(up[h]) {
				continue
			}
			again := at.Add(graceTime + between(0, 3*time.Second))
			up[h] = again.Add(between(time.Second, 3*time.Second))
			add(at, func() { w.tell(h) })
			add(again, func() { w.restart(h) })
		}
	}
	slices.SortStableFunc(l, func(a, b laterEvent) int { return a.at.Compare(b.at) })
	return l
}

// startLongCallers replaces the callers by ones that send long requests until they are stopped.
func (w *deployment) startLongCallers() {
	w.stopCallers()
	ctx, f := context.WithCancel(context.Background())
	d := make(chan struct{})
	w.stopCallers = func() {
		f()
		<-d
	}
	r := rand.New(rand.NewPCG(w.seed, 4))
	go func() {
		defer close(d)
		var g sync.WaitGroup
		for i := 0; ctx.Err() == nil; i++ {
			clock.Sleep(time.Duration(r.ExpFloat64() / longRate * float64(time.Second)))
			q, h := drawLongRequest(r, strconv.Itoa(i)), w.members[r.IntN(len(w.members))].Name
			q.shutdowns = &w.shutdowns
			g.Go(func() { w.sendLong(h, q) })
		}
		g.Wait()
	}()
}

// drawHosts returns one host, two, those of a failure domain or all.
func (w *deployment) drawHosts(r *rand.Rand) []string {
	l := w.hostsOf(func(member.Member) bool { return true })
	r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	m := w.members[r.IntN(len(w.members))]
	switch r.IntN(6) {
	case 0:
		return l
	case 1:
		return w.hostsOf(func(v member.Member) bool { return v.Domain == m.Domain })
	case 2, 3:
		return l[:2]
	}
	return l[:1]
}

// tell tells a host to stop.
func (w *deployment) tell(host string) {
	p := w.process(host)
	p.terminate()
	w.shutdowns.mu.Lock()
	defer w.shutdowns.mu.Unlock()
	w.shutdowns.told = append(w.shutdowns.told, p)
}

// Guards against requests that hosts with a signal to stop send to backend servers and then end
// without an answer, whichever hosts stop, and whenever their callers send.
func TestLeavingHostsAnswerWhatTheySend(t *testing.T) {
	for i := range seeds(t, shutdownSeeds) {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			runInBubbles(t, "shutdown-drawn", 1, func(t *testing.T, script string, _ int) { runScript(t, script, 0, uint64(i)) })
		})
	}
}
