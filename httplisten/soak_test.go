package httplisten_test

import (
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// shownFaults is how many faults a failed load prints.
const shownFaults = 10

// forSeeds runs f for the seeds from 1 to n, or to the environment variable SEEDS.
func forSeeds(t *testing.T, n uint64, f func(t *testing.T, seed uint64)) {
	if s := os.Getenv("SEEDS"); s != "" {
		var err error
		n, err = strconv.ParseUint(s, 10, 64)
		must.NoError(t, err)
	}
	for s := range n {
		t.Run(strconv.FormatUint(s+1, 10), func(t *testing.T) { f(t, s+1) })
	}
}

func mustBeFaultless(t *testing.T, seed uint64, f []string) {
	must.SliceEmpty(t, f, must.Sprintf("seed %d, the first faults:\n%s", seed, strings.Join(f[:min(len(f), shownFaults)], "\n")))
}

// Guards against a server that closes a connection while it holds a request, and one that
// keeps connections without requests open: limits and requests that meet at the same
// instant, limits that change, and shutdowns.
func TestLoadInVirtualTime(t *testing.T) {
	// The race detector crashes when timers of a bubble fire on several processors.
	c := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(c) })
	forSeeds(t, 12, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) {
			n := newPipeListener()
			l := &load{seed: seed, unit: time.Second, calls: 30, quiet: 6, drain: time.Hour, bounded: true}
			l.dial = func(seed uint64) (net.Conn, *watchedConn, error) {
				r := rand.New(rand.NewPCG(seed, 0))
				w := &watchedConn{late: func() { clock.Sleep(time.Duration(r.IntN(3))) }}
				c, err := n.dial(func(c net.Conn) net.Conn {
					w.Conn = c
					return w
				})
				return c, w, err
			}
			f := l.run(n)
			clock.Sleep(time.Hour) // a Read may still be late, and a bubble waits for no goroutine
			mustBeFaultless(t, seed, f)
		})
	})
}

// Guards against the same on sockets, where the timers of limits of some milliseconds and
// requests cross in any order.
func TestLoadOnSockets(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		must.NoError(t, err)
		w := &watchedListener{Listener: n, accepted: make(chan *watchedConn), closed: make(chan struct{})}
		l := &load{seed: seed, unit: time.Millisecond, calls: 60, quiet: 6, drain: time.Minute, dial: w.dial}
		mustBeFaultless(t, seed, l.run(w))
	})
}
