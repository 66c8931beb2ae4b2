// Package trail keeps the decisions on one request until it is known whether
// anybody will want to read them.
package trail

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// maxSteps bounds what is kept of one request: two tries have eight.
const maxSteps = 16

// Trail is the decisions in their order. Logged at once, those on requests that
// went well would be nearly all lines; kept, they cost memory for as long as the
// request lives. A nil Trail keeps nothing.
type Trail struct {
	mu    sync.Mutex
	steps []step
}

type step struct {
	at     time.Time
	text   string
	fields []any
}

// Add notes a decision with what decided it.
func (t *Trail) Add(at time.Time, text string, fields ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, step{at: at, text: text, fields: fields})
	}
}

// Write logs one line for each decision. Ago is how long before the line the
// decision was taken.
func (t *Trail) Write(l *log.Logger, request string, now time.Time) {
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
