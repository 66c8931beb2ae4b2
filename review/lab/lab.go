// Command lab runs the scripted cases of the review: entry hosts as separate processes, with
// stand-ins for the platform's store, backend servers and clients in this process.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// hostName is the Host header of the clients' requests.
const hostName = "studios.example"

// lab is a deployment on loopback.
type lab struct {
	record  *record
	store   *store
	hosts   []*host
	servers []*server
	dir     string
	trouble bool

	storeAddress string
	clients      sync.WaitGroup
}

// cases are the scripted cases by name. Each returns the violations of its rule.
var cases = map[string]func(l *lab) ([]string, error){}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER, in the repository's root")
		return exitNotRun
	}
	d, err := os.MkdirTemp("", "celeryreach-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l := &lab{record: newRecord(), store: newStore(), dir: d, trouble: os.Getenv("TROUBLE") != "0"}
	defer l.end()
	go l.endOnSignal()
	v, err := cases[os.Args[1]](l)
	if err == nil {
		for _, s := range v {
			l.record.note("broken: %s", s)
		}
		err = l.record.write(os.Args[2] + "/record.txt")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Printf("trouble %t, %d requests, %d runs, rule broken %d times\n", l.trouble, len(l.record.requests), len(l.record.runs), len(v))
	if len(v) > 0 {
		fmt.Println(v[0])
		return exitBroken
	}
	return exitHeld
}

// end ends all processes that the case started, and removes their settings and logs.
func (l *lab) end() {
	for _, h := range l.hosts {
		if h.process != nil {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
	}
	_ = os.RemoveAll(l.dir) // what is left lies in the folder for temporary files
}

func (l *lab) endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	<-c
	l.end()
	os.Exit(exitNotRun)
}

// serve serves a handler on a free loopback address.
func serve(h http.Handler) (string, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(n) }() // until this process ends
	return n.Addr().String(), nil
}

// addServer starts a backend server and registers it in the store.
func (l *lab) addServer(name, service, zone string, slots int, work time.Duration) error {
	s := newServer(name, service, slots, work, l.record)
	if err := s.open(freeAddress()); err != nil {
		return err
	}
	if service == "ledger" {
		s.sender = l.senderOf
	}
	l.servers = append(l.servers, s)
	l.store.put("servers", name, map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_s": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// startHosts starts the store and one host in each of the zones.
func (l *lab) startHosts(region string, zones ...string) error {
	a, err := serve(l.store)
	if err != nil {
		return err
	}
	l.storeAddress = a
	for _, z := range zones {
		h, err := newHost(l.dir, "front-"+z+"-1", z, region)
		if err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
	}
	for _, h := range l.hosts {
		if err := h.writeSettings(l.storeAddress, l.hosts); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	q := &http.Client{Timeout: time.Second}
	for t := time.Now(); time.Since(t) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		p, err := q.Get("http://" + h.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = p.Body.Close() // it is empty
		if p.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", h)
}

// startClients starts n copies of a client. Each third one keeps the answers of a directory
// three times as long as it says.
func (l *lab) startClients(ctx context.Context, n int, c client) {
	for i := range n {
		k := c
		if i%3 == 0 {
			k.keepX = 3
		}
		l.clients.Go(func() { k.run(ctx) })
	}
}

// route is a row of the routes in the configuration.
type route struct {
	prefix, kind    string
	timeout, target float64
	service         string
}

// putConfig writes a configuration.
func (l *lab) putConfig(routes ...route) {
	var r, s [][]any
	for i, v := range routes {
		r = append(r, []any{fmt.Sprintf("r-%d", i), hostName, v.prefix, v.kind, v.timeout, v.target, 1, nil, 2, false, false, []string{}, v.service})
		s = append(s, []any{v.service, "/health", 330, "h1", false, 3.0, 5.8})
	}
	l.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "type", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "public", "sticky", "allowed_regions", "service"},
			"rows":    r,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "warmup_s", "cold_per_s"},
			"rows":    s,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions"},
			"rows":    [][]any{{"studio", []string{studioKey}, 1, 200, 200, []string{}}},
		},
	})
}

const studioKey = "9anu6wsjnbanfqasnmgk"
