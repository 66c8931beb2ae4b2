// Package logbuffer collects log lines in memory and allows concurrent reads and
// writes.
package logbuffer

import (
	"bytes"
	"sync"
)

// Logbuffer is an io.Writer that keeps everything written to it. The zero value is
// empty.
type Logbuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends b. It never fails.
func (l *Logbuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns everything written so far.
func (l *Logbuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
