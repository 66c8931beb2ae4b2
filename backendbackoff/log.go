package backendbackoff

import (
	"strings"
	"time"

	"celeryreach.example/celeryreach/backend"
)

// minLoggedDivisor sets the minimum change that is logged: a later end is logged if it
// extends the backoff that was logged by more than 1/minLoggedDivisor. Each refusal may
// state a slightly later end.
const minLoggedDivisor = 10

// logExtended logs the end of a backoff if it is new or changed enough.
func (f *Backendbackoff) logExtended(b backend.Backend, m *backoff, now time.Time) {
	if m.until.Sub(m.loggedUntil) <= m.loggedUntil.Sub(m.firstBegan)/minLoggedDivisor {
		return
	}
	m.loggedUntil = m.until
	f.Log.Warn("backend server wants no requests", "Backend", b.Name, "Service", b.Service, "For", m.until.Sub(now))
}

// logEnded logs that a backend server is used again, and how many requests it was sent
// although it wanted none.
func (f *Backendbackoff) logEnded(b backend.Backend, m *backoff, now time.Time) {
	f.Log.Info("backend server used again", "Backend", b.Name, "Service", b.Service, "After", now.Sub(m.firstBegan), "SentMeanwhile", m.sentMeanwhile)
}

// countIgnored counts an invalid value, and logs it unless it repeats the last one.
func (f *Backendbackoff) countIgnored(b backend.Backend, m *backoff, values []string) {
	f.ignored++
	s := strings.Join(values, ", ")
	if s == m.ignoredValue {
		return
	}
	m.ignoredValue = s
	f.Log.Warn("backend server backoff ignored", "Backend", b.Name, "Service", b.Service, "Value", s)
}
