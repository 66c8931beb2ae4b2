package quarantine

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/backend"
)

// suspect is a request under which processes ended, or may have.
type suspect struct {
	ends map[uint64]*end // by process
	// answers is how many times in a row this host has had it answered since the last end, and
	// others is the same of other hosts.
	answers int
	others  map[string]int
	tells   bool      // this host saw an end, or passes news of one on
	judged  int       // the number of ends when it was last judged
	told    int       // the number of ends that other hosts were told of at once
	until   time.Time // the end of its quarantine
}

// end is the end of one process, or a connection of it that broke off.
type end struct {
	at        time.Time
	confirmed bool
	alive     bool            // the process was reached soon after
	judgedAt  time.Time       // when State was last asked
	backend   backend.Backend // without a name if this host does not know the process
}

// isPending reports whether it is not known whether the process has ended.
func (e *end) isPending(now time.Time) bool {
	return !e.confirmed && !e.alive && now.Sub(e.at) <= pendingTime
}

// isOpen reports whether it may still turn out that the process has ended.
func (e *end) isOpen(now time.Time) bool {
	return !e.confirmed && now.Sub(e.at) <= pendingTime+watchTime
}

// suspect returns the suspect of a request, a new one if there is none.
func (q *Quarantine) suspect(f string) *suspect {
	s, ok := q.suspects.Get(f)
	if !ok {
		s = &suspect{ends: make(map[uint64]*end)}
		q.suspects.Add(f, s)
	}
	return s
}

// addEnd adds the end of a process. What was answered before is no longer in a row.
func (s *suspect) addEnd(process uint64, e *end) {
	s.ends[process] = e
	s.answers, s.others = 0, make(map[string]int)
}

func (s *suspect) news() news {
	if len(s.ends) > 1 {
		return otherNews
	}
	return firstEnd
}

// answersInRow returns how many times in a row all hosts have had the request answered.
func (s *suspect) answersInRow() int {
	n := s.answers
	for _, v := range s.others {
		n += v
	}
	return n
}

// openFor returns after how long it should be known of all ends of s whether they are ends of
// processes. Those that take longer than most no longer count after pendingTime.
func (s *suspect) openFor(now time.Time) time.Duration {
	var d time.Duration
	for _, e := range s.ends {
		if !e.isPending(now) {
			continue
		}
		t := max(heldDelay-now.Sub(e.at), lateDelay)
		d = max(d, min(t, pendingTime-now.Sub(e.at)))
	}
	return max(d, checkInterval)
}

// count returns how many processes have ended under a suspect and how many may have, and
// forgets what is too old.
func (q *Quarantine) count(f string, s *suspect, now time.Time) (confirmed, pending int) {
	var last time.Time // the last confirmed end
	for _, e := range s.ends {
		if e.isPending(now) {
			pending++
		}
		if e.confirmed {
			confirmed++
			if e.at.After(last) {
				last = e.at
			}
		}
	}
	for k, e := range s.ends {
		if !e.confirmed && !e.isOpen(now) || e.confirmed && now.Sub(last) > rememberTime {
			delete(s.ends, k)
		}
	}
	if len(s.ends) == 0 {
		q.suspects.Remove(f)
		return 0, 0
	}
	if confirmed >= maxEnds && confirmed > s.judged {
		q.judge(f, s, confirmed, last, now)
	}
	return confirmed, pending
}

// judge quarantines a request under which processes ended, the last one at the given time. If
// the processes may have ended together by another cause, it does so for long enough that its
// callers no longer come back, and no longer.
func (q *Quarantine) judge(f string, s *suspect, ends int, last, now time.Time) {
	s.judged = ends
	m, n := q.countTogether(now)
	// A process ends by one request at most, so requests that were running on several of few
	// processes can't all be the cause. One that was running on most of them is.
	d := quarantineTime << min(ends-maxEnds, maxDoublings)
	if 2*m >= n && 2*ends <= n {
		d = doubtfulTime
	}
	s.until = last.Add(d)
	q.Log.Warn("request quarantined", "Fingerprint", short(f), "Ended", s.processes(), "Requests", m, "Processes", n, "For", s.until.Sub(now))
}

// countTogether returns how many processes have ended in the last togetherTime, and how many
// requests were running on several of them.
func (q *Quarantine) countTogether(now time.Time) (requests, processes int) {
	a := make(map[uint64]bool)
	for _, f := range q.suspects.Keys() {
		s, _ := q.suspects.Peek(f)
		n := 0
		for k, e := range s.ends {
			if now.Sub(e.at) <= togetherTime {
				a[k] = true
				n++
			}
		}
		if n > 1 {
			requests++
		}
	}
	return requests, len(a)
}

// processes returns the processes that ended.
func (s *suspect) processes() []uint64 {
	var l []uint64
	for k, e := range s.ends {
		if e.confirmed {
			l = append(l, k)
		}
	}
	return l
}

// names returns the backend servers of the processes that ended, without those that this host
// does not know.
func (s *suspect) names() []string {
	var l []string
	for _, e := range s.ends {
		if e.confirmed && e.backend.Name != "" {
			l = append(l, e.backend.Name)
		}
	}
	return l
}

// process returns the number by which hosts name a process to each other.
func process(b backend.Backend) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(b.Name) // never fails
	t := b.Started
	for range 8 {
		_, _ = h.Write([]byte{byte(t)}) //nolint:gosec // one byte after the other
		t >>= 8
	}
	return h.Sum64()
}

// short returns the form of a fingerprint for the log.
func short(f string) string {
	return hex.EncodeToString([]byte(f[:min(len(f), 8)]))
}
