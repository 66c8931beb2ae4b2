package backendlimit

import (
	"math"
	"strings"

	"celeryreach.example/celeryreach/backend"
)

// minLoggedChange is the minimum relative change of a limit that is logged. A limit
// that follows the load changes with each response.
const minLoggedChange = 0.1

// logChange logs a limit that was set, changed or withdrawn, and reports whether it
// did.
func (l *Backendlimit) logChange(backend string, m *limit, from string) bool {
	p := m.current.perSecond
	if p == m.loggedRate || math.Abs(p-m.loggedRate) < minLoggedChange*m.loggedRate {
		return false
	}
	f := []any{"Backend", backend, "Before", m.loggedRate}
	if from != "" {
		f = append(f, "ToldBy", from)
	}
	if p == unlimited {
		l.Log.Info("backend server limit withdrawn", f...)
	} else {
		l.Log.Warn("backend server limited", append(f, "PerSecond", p)...)
	}
	m.loggedRate = p
	return true
}

// countIgnored counts an invalid value, and logs it unless it repeats the last one.
func (l *Backendlimit) countIgnored(b backend.Backend, m *limit, values []string) {
	l.ignored++
	s := strings.Join(values, ", ")
	if s == m.ignoredValue {
		return
	}
	m.ignoredValue = s
	l.Log.Warn("backend server limit ignored", "Backend", b.Name, "Service", b.Service, "Value", s)
}
