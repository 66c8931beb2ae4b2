package edge_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/edge"
	"celeryreach.example/celeryreach/inflight"
)

const (
	// graceTime is the time from the signal to a process until it is killed.
	graceTime = 6 * time.Second
	// shutdownTime is the StopTime of the hosts.
	shutdownTime = graceTime - 500*time.Millisecond
	// leaveTime is how long a host accepts requests after it was told to stop.
	leaveTime = 2500 * time.Millisecond
)

// process is a process of a host.
type process struct {
	edge  *edge.Edge
	stop  context.CancelFunc
	calls inflight.Inflight // requests of its own callers
	open  context.Context   // ends with the process
	close context.CancelFunc

	mu      sync.Mutex
	running bool      // it was assembled and has not ended
	killed  bool      // it counts as ended
	told    time.Time // when it was told to stop, zero before
	ended   time.Time
	cut     int // calls in flight when it ended
}

// startProcess starts a process of a host after a delay.
func (w *deployment) startProcess(host string, delay time.Duration) {
	ctx, f := context.WithCancel(context.Background())
	p := &process{edge: w.hosts[host], stop: f}
	p.open, p.close = context.WithCancel(context.Background())
	w.mu.Lock()
	w.processes[host] = p
	w.mu.Unlock()
	go func() {
		clock.Sleep(delay)
		err := p.edge.Run(ctx, child.Child{Name: "callers", Run: p.serveCallers})
		p.end()
		w.ended <- err
	}()
}

// process returns the last process of a host.
func (w *deployment) process(host string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[host]
}

// serveCallers stands for the listener for callers.
func (p *process) serveCallers(ctx context.Context) error {
	p.mu.Lock()
	p.running = !p.killed
	p.mu.Unlock()
	<-ctx.Done()
	clock.Sleep(leaveTime)
	x, f := deadline.With(context.WithoutCancel(ctx), clock, clock.Until(p.edge.StopBy()))
	defer f()
	p.calls.Wait(x)
	return nil
}

// accepts reports whether callers may send requests.
func (p *process) accepts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return false
	}
	return p.edge.IsReady() || !p.told.IsZero() && clock.Since(p.told) < leaveTime
}

func (p *process) terminate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told.IsZero() {
		p.told = clock.Now()
		p.stop()
	}
}

func (p *process) isTold() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.told.IsZero()
}

func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended, p.cut, p.running = clock.Now(), p.calls.Count(), false
	p.close()
}

// checkTerminated describes a shutdown that took longer than graceTime or cut a request.
func (p *process) checkTerminated() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLate() || p.cut > 0 {
		return fmt.Sprintf("ended after %s, %d requests cut", p.ended.Sub(p.told), p.cut)
	}
	return ""
}

// isLate reports whether the shutdown took longer than graceTime. The caller holds the lock.
func (p *process) isLate() bool {
	return p.ended.IsZero() || p.ended.Sub(p.told) > graceTime
}

// runHostCommand runs one command for the shutdown of hosts, and passes others to
// runRemovalCommand:
//
//	terminate HOST    the host is told to stop
//	leaving HOST      checks that it says that it leaves
//	terminated HOST   checks that it ended within graceTime, and cut no request
func (w *deployment) runHostCommand(command string, a []string) (string, error) {
	switch command {
	case "terminate":
		w.processes[a[0]].terminate()
	case "leaving":
		if !w.hosts[a[0]].IsLeaving() {
			return "it does not say so", nil
		}
	case "terminated":
		return w.processes[a[0]].checkTerminated(), nil
	default:
		return w.runRemovalCommand(command, a)
	}
	return "", nil
}

// Guards against a host that waits for requests of other hosts before it says that it leaves,
// goes on as before meanwhile, and is killed while it serves requests that it took late.
func TestForwardedRequestsDoNotDelayShutdown(t *testing.T) {
	for _, s := range []string{linkResets, linkHangs} {
		t.Run(s, func(t *testing.T) { runLinkScript(t, "shutdown-forwarded", s) })
	}
}
