package backendlimit

import (
	"math"
	"strings"

	"celeryreach.example/celeryreach/backend"
)

// loggedChange is the part of a limit by which it changes before that is logged: one
// that follows the load changes with each answer.
const loggedChange = 0.1

// tell logs a limit that is named, withdrawn or changed, and reports whether it did.
func (l *Backendlimit) tell(backend string, m *limit, from string) bool {
	p := m.word.perSecond
	if p == m.logged || math.Abs(p-m.logged) < loggedChange*m.logged {
		return false
	}
	f := []any{"Backend", backend, "Before", m.logged}
	if from != "" {
		f = append(f, "ToldBy", from)
	}
	if p == none {
		l.Log.Info("backend server limit withdrawn", f...)
	} else {
		l.Log.Warn("backend server limited", append(f, "PerSecond", p)...)
	}
	m.logged = p
	return true
}

// ignore counts a value that is no limit. The same one again is not logged.
func (l *Backendlimit) ignore(b backend.Backend, m *limit, values []string) {
	l.ignored++
	s := strings.Join(values, ", ")
	if s == m.ignored {
		return
	}
	m.ignored = s
	l.Log.Warn("backend server limit ignored", "Backend", b.Name, "Service", b.Service, "Value", s)
}
