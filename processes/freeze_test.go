package processes_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/status"
)

const sendersPerHost = 8

// sendContinuously sends requests through the hosts for the given time, as fast
// as they answer.
func (d *deployment) sendContinuously(t time.Duration, hosts ...string) {
	e := clock.Now().Add(t)
	c := make(chan struct{})
	for _, h := range hosts {
		for range sendersPerHost {
			go func() {
				defer func() { c <- struct{}{} }()
				for clock.Now().Before(e) {
					d.send(h, http.MethodGet, "/listings/1", "")
				}
			}()
		}
	}
	for range len(hosts) * sendersPerHost {
		<-c
	}
}

// hostWithLargestLease returns the host with the largest leased share. The
// whole leased share of an account without traffic belongs to one host, which
// differs between runs.
func (d *deployment) hostWithLargestLease() string {
	var r string
	m := -1.0
	for h := range d.hosts {
		for _, s := range d.hostStatus(h).Shares {
			if s.Leased > m {
				r = h
				m = s.Leased
			}
		}
	}
	return r
}

func (d *deployment) hostStatus(host string) status.Status {
	_, b := d.do(http.MethodGet, "http://"+d.hosts[host].operatorAddress+"/status", d.operatorKey, "")
	var v status.Status
	must.NoError(d.t, codec.Unmarshal([]byte(b), &v))
	return v
}

// requestsPerHost is how many requests are sent to each host at once. It
// exceeds the account's burst.
const requestsPerHost = 220

// A host is frozen with SIGSTOP while its token bucket is full. The other hosts
// take over its leased share and fill their buckets. Then callers send requests
// to all hosts at once, including the frozen one. When the frozen host resumes, its
// sockets contain both these requests and the heartbeats of its peers. Whether it
// reads the requests or the heartbeats first, the hosts together must not run more
// requests than burst and rate allow in the elapsed time.
func TestFrozenHost(t *testing.T) {
	d := deploy(t)
	<-clock.After(burst / rate * time.Second) // until all buckets are full
	h := d.hostWithLargestLease()
	d.signal(h, syscall.SIGSTOP)
	d.await("the other hosts to drop the frozen host", func() bool {
		for o := range d.hosts {
			if o != h && len(d.hostStatus(o).Peers) != 1 {
				return false
			}
		}
		return true
	})
	<-clock.After((hold + 2*burst/rate*time.Second)) // until the share has been taken over and the buckets are full
	o := d.totalRuns()
	s := clock.Now()
	c := make(chan int)
	for v := range d.hosts {
		for range requestsPerHost {
			go func() {
				k, _ := d.send(v, http.MethodGet, "/listings/1", "")
				c <- k
			}()
		}
	}
	<-clock.After(hold / 10)
	d.signal(h, syscall.SIGCONT)
	for range 3 * requestsPerHost {
		<-c
	}
	m := burst + rate*clock.Since(s).Seconds()
	n := d.totalRuns() - o
	t.Logf("%d run, %.0f allowed", n, m)
	must.LessEq(t, m, float64(n))
	must.Greater(t, burst/2, n)
	d.await("answers after the freeze", func() bool {
		k, _ := d.send(h, http.MethodGet, "/listings/1", "")
		return k == http.StatusOK
	})
}

// A host is killed while it runs deposits, and a replacement takes its name.
// The callers retry each deposit at another host until it is answered or that host
// reports its outcome as unknown. No deposit may run twice, and each answered
// deposit must have run.
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
	d.startHost("l2")
	for i := range deposits {
		id := fmt.Sprint("child-", i)
		a := ""
		d.await("the outcome of "+id, func() bool {
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
	d.await("answers from the replacement", func() bool {
		k, _ := d.send("l2", http.MethodGet, "/listings/1", "")
		return k == http.StatusOK
	})
}

// A host receives SIGTERM while callers send requests. It must end by itself
// with exit code 0, and callers of the other hosts must not be affected.
func TestTerminatedHost(t *testing.T) {
	d := deploy(t)
	c := make(chan struct{})
	go func() {
		defer close(c)
		d.sendContinuously(hold, "l1")
	}()
	d.signal("l2", syscall.SIGTERM)
	must.NoError(t, d.hosts["l2"].command.Wait())
	<-c
	k, _ := d.send("a1", http.MethodGet, "/listings/1", "")
	must.EqOp(t, http.StatusOK, k)
}

// Guards against a host that a second SIGTERM ends at once, with the requests that it was
// finishing.
func TestRepeatedTerminationCutsNothing(t *testing.T) {
	signalDuringDeposits(deploy(t), syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM)
}

// Guards against a host that SIGHUP ends at once, before or during its shutdown.
func TestHangupCutsNothing(t *testing.T) {
	signalDuringDeposits(deploy(t), syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
}

// Guards against a host that ends at its next log line, with the requests that it was
// finishing, because the reader of its log has ended.
func TestEndOfLogReaderCutsNothing(t *testing.T) {
	d := deploy(t)
	must.NoError(t, d.hosts["l2"].log.Close())
	signalDuringDeposits(d, syscall.SIGTERM)
}

// signalDuringDeposits sends signals to a host with deposits in flight, and expects each
// answer and the exit code 0.
func signalDuringDeposits(d *deployment, signals ...syscall.Signal) {
	const deposits = 8
	d.backendSignal(syscall.SIGSTOP)
	c := make(chan int)
	for i := range deposits {
		go func() {
			k, _ := d.send("l2", http.MethodPost, "/listings/deposit", fmt.Sprint("child-", i))
			c <- k
		}()
	}
	<-clock.After(hold / 2) // until they have reached backend servers
	for _, s := range signals {
		d.signal("l2", s)
		<-clock.After(hold / 10)
	}
	d.backendSignal(syscall.SIGCONT)
	for range deposits {
		must.EqOp(d.t, http.StatusOK, <-c)
	}
	must.NoError(d.t, d.hosts["l2"].command.Wait())
}
