package backendlimit

import (
	"math"
	"strings"

	"celeryreach.example/celeryreach/backend"
)

// loggedChange is the part of a limit by which it changes before that is logged: one
// that follows the load changes with each answer.
const loggedChange = 0.1

// tell logs a limit that is named, withdrawn or changed.
func (l *Backendlimit) tell(b backend.Backend, m *limit) {
	if m.perSecond == m.logged || math.Abs(m.perSecond-m.logged) < loggedChange*m.logged {
		return
	}
	if m.perSecond == none {
		l.Log.Info("backend server limit withdrawn", "Backend", b.Name, "Service", b.Service, "Before", m.logged)
	} else {
		l.Log.Warn("backend server limited", "Backend", b.Name, "Service", b.Service, "PerSecond", m.perSecond, "Before", m.logged)
	}
	m.logged = m.perSecond
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
