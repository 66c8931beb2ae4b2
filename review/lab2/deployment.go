package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	hostName   = "shop.example"
	key        = "k7q2m9x4c1"
	tenant     = "acme"
	startUp    = 20 * time.Second
	settleTime = 2 * time.Second
	beat       = 1500 * time.Millisecond
	// Faulty backend servers are so for troubleTime at a time, with as long a pause between.
	// The second half of the servers is sound.
	troubleTime  = 5 * time.Second
	troubleShare = 0.03 // of their answers
)

// deployment is a small installation: two hosts and four backend servers in two zones.
type deployment struct {
	store   *store
	hosts   []*host
	servers []*server
	folder  string
	record  *os.File
	ready   time.Time // when all hosts were ready

	mu sync.Mutex
}

// isFaulty draws whether the next answer of a backend server is a faulty one.
func (s *server) isFaulty() bool {
	t := time.Since(s.deployment.ready)
	return (s.id == "i-1" || s.id == "i-2") && t/troubleTime%2 == 0 && rand.Float64() < troubleShare
}

// note writes a line to the record.
func (d *deployment) note(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, time.Now().Format("15:04:05.000 ")+format+"\n", a...)
}

// startDeployment starts everything and waits until all hosts are ready. Serve is how the backend
// servers treat their connections.
func startDeployment(record string, serve serveFunc) (*deployment, error) {
	d := &deployment{}
	go d.stopOnSignal()
	var err error
	if d.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	d.store.put("op", "config", config())
	for i, z := range []string{"a1", "b1", "a1", "b1"} {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), z, d, serve)
		if err != nil {
			return d, err
		}
		d.servers = append(d.servers, s)
	}
	go d.beat()
	d.hosts = []*host{newHost(), newHost()}
	seeds := d.hosts[0].control + "," + d.hosts[1].control
	for i, z := range []string{"a1", "b1"} {
		if err := d.hosts[i].start(d.folder, fmt.Sprintf("front-%s-1", z), z, seeds, d.store.address); err != nil {
			return d, err
		}
	}
	for _, h := range d.hosts {
		if !h.awaitReady(startUp) {
			return d, fmt.Errorf("a host did not become ready")
		}
	}
	time.Sleep(settleTime)
	d.ready = time.Now()
	d.note("hosts ready: %s %s", d.hosts[0].front, d.hosts[1].front)
	return d, nil
}

// beat writes the status reports of the backend servers, as these do.
func (d *deployment) beat() {
	for {
		for _, s := range d.servers {
			if !s.silent.Load() { // its case writes its reports
				d.store.put("servers", s.id, s.report())
			}
		}
		time.Sleep(beat)
	}
}

// awaitFeeds notes the calls of the feed that go on from a version or a later one: these callers have
// that version of a server's entry. It returns when there are as many callers as hosts.
func (d *deployment) awaitFeeds(id string, version uint64) {
	done := make(chan struct{})
	seen := make(map[string]bool)
	d.store.mu.Lock()
	d.store.onFeed = func(caller, table string, after uint64) {
		if table != "servers" || after < version || seen[caller] {
			return
		}
		seen[caller] = true
		d.note("store: %s goes on after version %d, so it has the entry of %s as draining", caller, after, id)
		if len(seen) == len(d.hosts) {
			close(done)
		}
	}
	d.store.mu.Unlock()
	select {
	case <-done:
	case <-time.After(beat):
	}
	d.store.mu.Lock()
	d.store.onFeed = nil
	d.store.mu.Unlock()
}

// stopOnSignal ends all processes when the script is told to stop.
func (d *deployment) stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-c
	d.stop()
	fail("stopped by a signal")
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		if h.kill() {
			d.note("a host ended by itself")
		}
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
	_ = d.record.Close()
}

// config is the operator's configuration, with the limits of the sites' example.
func config() any {
	return map[string]any{
		"version": 7,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "type", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "public", "sticky", "allowed_regions", "service"},
			"rows": [][]any{
				{"r-pay", hostName, "/pay/", "unsafe", 8, 2, 0, nil, 2, false, false, []string{}, "ledger"},
				{"r-view", hostName, "/view/", "safe", 8, 2, 1, nil, 2, false, false, []string{}, "ledger"},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "warmup_s", "cold_per_s"},
			"rows":    [][]any{{"ledger", "/health", 330, "h1", false, 3.0, 5.8}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions"},
			"rows":    [][]any{{tenant, []string{key}, 1, 400, 400, []string{}}},
		},
	}
}
