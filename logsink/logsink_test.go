package logsink_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/logsink"
)

// blocked is a writer that blocks until open is closed, like a standard output whose
// reader has stopped reading.
type blocked struct {
	mu    sync.Mutex
	open  chan struct{}
	lines []string
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// Guards against a blocked reader of the log that delays requests: writing a line must
// never block. When the reader continues, it receives the buffered lines and the number
// of dropped ones.
func TestBlockedReader(t *testing.T) {
	k := clockwork.NewFakeClock()
	o := &blocked{open: make(chan struct{})}
	s := logsink.New(k, o)
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error)
	go func() { d <- s.Run(ctx) }()
	for range 20 {
		for i := range 250 {
			_, err := fmt.Fprintf(s, "line %d\n", i)
			must.NoError(t, err)
		}
		k.Advance(time.Second)
	}
	close(o.open)
	f()
	must.NoError(t, <-d)
	must.Greater(t, 2000, len(o.lines))
	must.Less(t, 2060, len(o.lines))
	must.StrContains(t, o.lines[len(o.lines)-1], "log lines dropped")
}

// Guards against unlimited logging when every request fails. The log must stay within
// its rate limit and report the number of dropped lines.
func TestVolumeIsBounded(t *testing.T) {
	k := clockwork.NewFakeClock()
	var b strings.Builder
	s := logsink.New(k, &b)
	for range 10_000 {
		_, err := s.Write([]byte("request ended\n"))
		must.NoError(t, err)
	}
	ctx, f := context.WithCancel(context.Background())
	f()
	must.NoError(t, s.Run(ctx))
	must.EqOp(t, 250, strings.Count(b.String(), "request ended"))
	must.StrContains(t, b.String(), "Lines=9750")
}

// Guards against a host that cuts requests and says so in lines that are dropped, since the
// log is full of the lines of other requests.
func TestErrorsAreNotDroppedForOtherLines(t *testing.T) {
	k := clockwork.NewFakeClock()
	var b strings.Builder
	s := logsink.New(k, &b)
	l := log.NewWithOptions(s, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	for range 1000 {
		l.Info("request ended", "Error", "level=error")
	}
	for range 300 {
		l.Error("connection closed without a response")
	}
	ctx, f := context.WithCancel(context.Background())
	f()
	must.NoError(t, s.Run(ctx))
	must.EqOp(t, 250, strings.Count(b.String(), "request ended"))
	must.EqOp(t, 250, strings.Count(b.String(), "connection closed"))
}

// BenchmarkLine measures the cost of one log line of a failed request.
func BenchmarkLine(b *testing.B) {
	k := clockwork.NewRealClock()
	l := log.NewWithOptions(logsink.New(k, new(strings.Builder)), log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	for range b.N {
		l.Info("request ended", "Request", "f405e3ee8fc725d8", "Route", "r-mrvvn94", "Account", "zihu50", "Service", "nyhu24b",
			"Outcome", "NoCapacity", "Ran", "no", "Cause", "no backend server has room", "RetryAfter", 250*time.Millisecond, "Version", 98)
	}
}
