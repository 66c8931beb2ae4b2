// Package decisionlog buffers the log entries of one request until it is known whether
// they need to be logged.
package decisionlog

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// maxSteps bounds the entries kept for one request. A request with two attempts has
// eight entries.
const maxSteps = 16

// Decisionlog is the list of decisions made for one request, in order. Logged
// immediately, the decisions for successful requests would make up nearly all log
// lines; buffered, they use memory only while the request is handled. A nil Decisionlog
// records nothing.
type Decisionlog struct {
	mu    sync.Mutex
	steps []step
}

type step struct {
	at     time.Time
	text   string
	fields []any
}

// Add records a decision and, in fields, the values that it was based on.
func (t *Decisionlog) Add(at time.Time, text string, fields ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, step{at: at, text: text, fields: fields})
	}
}

// Write logs one line for each decision and then clears t. The field Ago is the time
// between the decision and the log line.
func (t *Decisionlog) Write(l *log.Logger, request string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.steps {
		l.Info(s.text, append([]any{"Request", request, "Ago", now.Sub(s.at)}, s.fields...)...)
	}
	t.steps = nil
}
