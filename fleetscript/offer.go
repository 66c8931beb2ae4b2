package fleetscript

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// offer runs several groups of callers concurrently and waits for all
// responses. Requests are sent at an even rate without waiting for earlier
// responses, because independent callers do not wait for each other.
func offer(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 || len(args)%4 != 1 {
		ts.Fatalf("usage: offer TIME HOST ACCOUNT RATE PATH...")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s := scriptOf(ts)
	e := make(chan error)
	n := 0
	for a := args[1:]; len(a) > 0; a = a[4:] {
		r, err := strconv.Atoi(a[2])
		ts.Check(err)
		go s.sendAtRate(ts, a[0], a[1], a[3], int(d.Seconds()*float64(r)), time.Second/time.Duration(r), e)
		n++
	}
	for range n {
		ts.Check(<-e)
	}
}

func (s *script) sendAtRate(ts *testscript.TestScript, host, account, path string, n int, gap time.Duration, done chan<- error) {
	f := runningFleet(ts)
	t := s.clock.Now()
	e := make(chan error, n)
	for i := range n {
		if w := t.Add(time.Duration(i) * gap).Sub(s.clock.Now()); w > 0 {
			s.clock.Sleep(w)
		}
		go func() {
			_, _, err := f.Send(s.context, host, account, http.MethodGet, path, "")
			e <- err
		}()
	}
	var r error
	for range n {
		if err := <-e; err != nil {
			r = fmt.Errorf("%s at %s: %w", account, host, err)
		}
	}
	done <- r
}
