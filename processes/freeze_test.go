package processes_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const senders = 8

// flood sends through the hosts for a time, as fast as they answer.
func (d *deployment) flood(t time.Duration, hosts ...string) {
	e := clock.Now().Add(t)
	c := make(chan struct{})
	for _, h := range hosts {
		for range senders {
			go func() {
				defer func() { c <- struct{}{} }()
				for clock.Now().Before(e) {
					d.send(h, http.MethodGet, "/listings/1", "")
				}
			}()
		}
	}
	for range len(hosts) * senders {
		<-c
	}
}

// An account sends as fast as it can. One of its hosts is frozen for three times
// the Hold, in which the others take its leased part, and then wakes with full
// buckets and requests that were admitted before. All hosts together run no more
// than burst and rate allow over the whole time, because the frozen host finds
// by its own clock that its part lapsed, also between check and send.
func TestFrozenHost(t *testing.T) {
	d := deploy(t)
	o := d.total()
	s := clock.Now()
	d.flood(time.Second, "l1", "l2", "a1")
	c := make(chan struct{})
	go func() {
		defer close(c)
		d.flood(5*hold, "l1", "l2", "a1")
	}()
	<-clock.After(hold / 2)
	d.signal("a1", syscall.SIGSTOP)
	<-clock.After(3 * hold)
	d.signal("a1", syscall.SIGCONT)
	<-c
	d.await("answers after the freeze", func() bool {
		k, _ := d.send("a1", http.MethodGet, "/listings/1", "")
		return k == http.StatusOK
	})
	n := d.total() - o
	m := burst + rate*clock.Since(s).Seconds()
	t.Logf("%d run, %.0f allowed", n, m)
	must.LessEq(t, m, float64(n))
	must.Greater(t, 0, n)
}

// A host is killed with deposits under way, and a replacement takes its name. The
// callers ask again for each deposit, here and elsewhere, until they know how it
// ended: none runs twice, and each one that is answered has run.
func TestKilledHost(t *testing.T) {
	d := deploy(t)
	const deposits = 24
	c := make(chan string)
	for i := range deposits {
		go func() {
			id := fmt.Sprint("child-", i)
			k, _ := d.send("l2", http.MethodPost, "/listings/deposit", id)
			c <- fmt.Sprint(id, " ", k)
		}()
	}
	<-c
	d.signal("l2", syscall.SIGKILL)
	for range deposits - 1 {
		<-c
	}
	d.start("l2")
	for i := range deposits {
		id := fmt.Sprint("child-", i)
		a := ""
		d.await("the end of "+id, func() bool {
			k, b := d.send("l1", http.MethodPost, "/listings/deposit", id)
			a = b
			return k == http.StatusOK || strings.Contains(b, `"Ran":"unknown"`) && strings.Contains(b, "OutcomeUnknown")
		})
		n := d.runs()[id]
		must.LessEq(t, 1, n, must.Sprint(id))
		if !strings.Contains(a, "OutcomeUnknown") {
			must.EqOp(t, 1, n, must.Sprint(id))
		}
	}
	d.await("answers of the replacement", func() bool {
		k, _ := d.send("l2", http.MethodGet, "/listings/1", "")
		return k == http.StatusOK
	})
}

// A host is asked to end while callers send: it ends by itself with exit code 0,
// and callers of the other hosts see nothing of it.
func TestTerminatedHost(t *testing.T) {
	d := deploy(t)
	c := make(chan struct{})
	go func() {
		defer close(c)
		d.flood(hold, "l1")
	}()
	d.signal("l2", syscall.SIGTERM)
	must.NoError(t, d.hosts["l2"].command.Wait())
	<-c
	k, _ := d.send("a1", http.MethodGet, "/listings/1", "")
	must.EqOp(t, http.StatusOK, k)
}
