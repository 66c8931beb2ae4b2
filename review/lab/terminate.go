package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["second-sigterm"] = secondSigterm }

// secondSigterm stops one host of three as the platform does. The disruption is a second
// SIGTERM 0.4 s after the first, while the host still finishes requests.
func secondSigterm(l *lab) ([]string, error) {
	l.putConfig(route{"/briefs/", "unsafe", 4, 0.6, "studio-desk"})
	for i, z := range []string{"bag-a", "bag-b", "bag-c"} {
		for j := range 2 {
			if err := l.addServer(fmt.Sprintf("i-%d%d", i, j), "studio-desk", z, 3, 840*time.Millisecond); err != nil {
				return nil, err
			}
		}
	}
	if err := l.startHosts("bagmati", "bag-a", "bag-b", "bag-c"); err != nil {
		return nil, err
	}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	l.startClients(x, 18, client{
		lab: l, region: "bagmati", method: http.MethodPost, path: "/briefs/1", key: studioKey, limit: 4 * time.Second, pause: 100 * time.Millisecond,
	})
	time.Sleep(4 * time.Second)
	h := l.hosts[0]
	t := time.Now()
	l.record.note("SIGTERM to %s", h)
	h.signal(syscall.SIGTERM)
	time.Sleep(400 * time.Millisecond)
	if l.trouble {
		l.record.note("second SIGTERM to %s", h)
		h.signal(syscall.SIGTERM)
	}
	k := h.awaitEnd(time.Until(t.Add(grace)))
	l.record.note("%s ended, killed after the grace time: %t", h, k)
	time.Sleep(500 * time.Millisecond)
	if err := h.start(); err != nil {
		return nil, err
	}
	l.record.note("%s started again", h)
	time.Sleep(3 * time.Second)
	stop()
	l.clients.Wait()
	return l.lostAround(h, t, time.Time{}), nil
}

// lostAround returns the requests that h read and passed on, and whose connection ended
// without an answer, from a SIGTERM until one second after the grace time. Requests are left
// out if they were sent before calm, if their time limit was reached, if the server broke off,
// or if they were sent no later than 3 s after the SIGTERM and the server was still at work in
// the last sixth of the grace time.
func (l *lab) lostAround(h *host, t, calm time.Time) []string {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	var v []string
	for _, q := range l.record.requests {
		switch {
		case q.host != h.front, q.status != 0, q.failure == timeLimit:
			continue
		case q.sent.Before(calm), q.done.Before(t), q.done.After(t.Add(grace + time.Second)), q.done.Sub(q.sent) >= q.limit:
			continue
		case q.done.After(t.Add(grace*5/6)) && !q.sent.After(t.Add(lateRequest)):
			continue
		}
		for _, u := range l.record.runsOf(q.id) {
			v = append(v, fmt.Sprintf("LOST: request %s, sent %.3f s after the SIGTERM, reached server %s and ran for %.3f s, when its connection ended without an answer, %.3f s after the SIGTERM (%s)",
				q.id, q.sent.Sub(t).Seconds(), u.server, q.done.Sub(u.start).Seconds(), q.done.Sub(t).Seconds(), q.failure))
		}
	}
	return v
}

// lateRequest is how long after a SIGTERM a request may be sent that the grace time may cut.
const lateRequest = 3 * time.Second
