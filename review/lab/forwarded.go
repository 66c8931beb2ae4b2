package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["sigterm-with-forwarded"] = sigtermWithForwarded }

const (
	// rosterWork is inside what the site ancoreg has for its longest requests.
	rosterWork = 4 * time.Second
	// maxCuts limits how often the servers are cut off.
	maxCuts = 12
)

// sigtermWithForwarded stops one host as the platform does. The disruption comes before: the
// servers of one service go down and up by turns, until a host sends a request through one that
// reached them again a little sooner. That one is stopped.
func sigtermWithForwarded(l *lab) ([]string, error) {
	l.putConfig(route{"/briefs/", "unsafe", 4, 0.6, "studio-desk"}, route{"/rosters/", "safe", 8, 1, "ledger"})
	for i, z := range []string{"bag-a", "bag-b", "bag-c"} {
		for j := range 3 {
			if err := l.addServer(fmt.Sprintf("i-%d%d", i, j), "studio-desk", z, 3, 840*time.Millisecond); err != nil {
				return nil, err
			}
		}
	}
	for i := range 2 {
		if err := l.addServer(fmt.Sprintf("i-9%d", i), "ledger", "bag-b", 4, rosterWork); err != nil {
			return nil, err
		}
	}
	if err := l.startHosts("bagmati", "bag-a", "bag-b", "bag-c"); err != nil {
		return nil, err
	}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	c := client{lab: l, region: "bagmati", method: http.MethodPost, path: "/briefs/1", key: studioKey, limit: 4 * time.Second, pause: 100 * time.Millisecond}
	l.startClients(x, 18, c)
	c.method, c.path, c.limit = http.MethodGet, "/rosters/1", 8*time.Second
	l.startClients(x, 9, c)
	time.Sleep(4 * time.Second)
	h, calm, err := l.awaitForwarded()
	if err != nil {
		return nil, err
	}
	l.record.note("SIGTERM to %s", h)
	h.signal(syscall.SIGTERM)
	t := time.Now()
	k := h.awaitEnd(grace)
	l.record.note("%s ended %.3f s after the SIGTERM, killed after the grace time: %t", h, time.Since(t).Seconds(), k)
	time.Sleep(500 * time.Millisecond)
	if err := h.start(); err != nil {
		return nil, err
	}
	l.record.note("%s started again", h)
	time.Sleep(time.Second)
	stop()
	l.clients.Wait()
	return l.lostAround(h, t, calm.Add(contact)), nil
}

// awaitForwarded cuts off the servers of ledger until a host runs a request that a client sent
// to another host. It returns that host and when the servers were reached again.
func (l *lab) awaitForwarded() (*host, time.Time, error) {
	if !l.trouble {
		return l.hosts[0], time.Now(), nil
	}
	for range maxCuts {
		l.record.note("servers of ledger go down")
		l.cutServers("ledger")
		time.Sleep(2 * time.Second)
		if err := l.openServers("ledger"); err != nil {
			return nil, time.Time{}, err
		}
		t := time.Now()
		l.record.note("servers of ledger are up")
		for time.Since(t) < time.Second {
			time.Sleep(20 * time.Millisecond)
			if h := l.runsForwarded(); h != nil {
				return h, t, nil
			}
		}
	}
	return nil, time.Time{}, errors.New("no host sent a request through another one")
}

// runsForwarded returns a host that runs a request which a client sent to another host, nil if
// there is none.
func (l *lab) runsForwarded() *host {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	sent := make(map[string]string)
	for _, q := range l.record.requests {
		sent[q.id] = q.host
	}
	for _, v := range l.record.runs {
		if v.end.IsZero() && v.from != nil && sent[v.id] != "" && sent[v.id] != v.from.front {
			v.forwarded = true
			return v.from
		}
	}
	return nil
}

func (l *lab) cutServers(service string) {
	for _, s := range l.servers {
		if s.service == service {
			s.cut()
		}
	}
}

func (l *lab) openServers(service string) error {
	for _, s := range l.servers {
		if s.service != service {
			continue
		}
		if err := s.open(s.address); err != nil {
			return err
		}
	}
	return nil
}
