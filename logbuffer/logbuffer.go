// Package logbuffer keeps log lines that are read while others are written.
package logbuffer

import (
	"bytes"
	"sync"
)

// Logbuffer is a writer that keeps everything. The zero value is empty.
type Logbuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line. It never fails.
func (l *Logbuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns all lines so far.
func (l *Logbuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
