// Package logsink writes log lines without blocking the code that logs.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// bufferedLines is how many lines are queued for a slow reader.
	bufferedLines = 2048
	// levelPrefixBytes of a line contain its level, after the time.
	levelPrefixBytes = 64
	// maxLinesPerSecond bounds the cost of logging: 250 lines at 5 µs each (go test
	// -bench Line ./logsink) take 0.13% of a core. Lines at level error have as many for
	// themselves.
	maxLinesPerSecond = 250
)

// Logsink is an io.Writer that expects one complete line per call. It drops and counts
// lines above its rate limit and lines that do not fit into the queue while the reader
// is blocked. The count is written as a log line.
type Logsink struct {
	// Clock provides the seconds over which lines are counted.
	Clock clockwork.Clock
	// Out receives the lines.
	Out io.Writer

	lines         chan []byte
	dropped       atomic.Int64
	currentSecond atomic.Int64
	written       atomic.Int64
	writtenErrors atomic.Int64
}

// New returns a Logsink that writes to out.
func New(c clockwork.Clock, out io.Writer) *Logsink {
	return &Logsink{Clock: c, Out: out, lines: make(chan []byte, bufferedLines)}
}

// Write queues one line. It never blocks and never fails.
func (l *Logsink) Write(b []byte) (int, error) {
	if !l.admit(b) {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes queued lines until ctx ends, and then the remaining ones.
func (l *Logsink) Run(ctx context.Context) error {
	for {
		select {
		case b := <-l.lines:
			l.writeLine(b)
		case <-l.Clock.After(time.Second):
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

func (l *Logsink) flush() {
	for {
		select {
		case b := <-l.lines:
			l.writeLine(b)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Logsink) writeLine(b []byte) {
	// The error is ignored because a failure of the log cannot be logged.
	_, _ = l.Out.Write(b)
}

func (l *Logsink) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.writeLine([]byte(fmt.Sprintf("level=warn msg=\"log lines dropped\" Lines=%d\n", n)))
	}
}

// admit counts a line against the rate limit of its level. Two concurrent writers may both reset the
// count at the start of a second; the limit is then exceeded by a few lines, which is
// harmless.
func (l *Logsink) admit(b []byte) bool {
	s := l.Clock.Now().Unix()
	if o := l.currentSecond.Load(); o != s && l.currentSecond.CompareAndSwap(o, s) {
		l.written.Store(0)
		l.writtenErrors.Store(0)
	}
	if isError(b) {
		return l.writtenErrors.Add(1) <= maxLinesPerSecond
	}
	return l.written.Add(1) <= maxLinesPerSecond
}

// isError reports whether a line has level error.
func isError(b []byte) bool {
	p, _, _ := bytes.Cut(b[:min(len(b), levelPrefixBytes)], []byte(" msg="))
	return bytes.HasSuffix(p, []byte("level=error"))
}
