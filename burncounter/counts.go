package burncounter

import (
	"sort"

	"celeryreach.example/celeryreach/hostcounts"
)

// Counts returns a sorted copy of all counts.
func (b *Burncounter) Counts() hostcounts.Hostcounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := hostcounts.Hostcounts{
		Host: b.Self.Name, Incarnation: b.Self.Incarnation, Region: b.Self.Region, At: b.Clock.Now().UTC(),
		Latencies: make(map[string][]byte),
	}
	for _, t := range b.requestCounts {
		s.Tallies = append(s.Tallies, *t)
	}
	for _, t := range b.seconds {
		s.Seconds = append(s.Seconds, *t)
	}
	for _, u := range b.usages {
		s.Usages = append(s.Usages, *u)
	}
	s.Drains = append(s.Drains, b.drains...)
	for k, h := range b.latencies {
		// Encoding fails only for a corrupt histogram, which is then left out.
		if e, err := h.Merge().EncodeV2(); err == nil {
			s.Latencies[k] = e
		}
	}
	sortCounts(&s)
	return s
}

// sortCounts sorts the counts by time, account and service.
func sortCounts(s *hostcounts.Hostcounts) {
	sort.Slice(s.Tallies, func(i, j int) bool {
		a, b := s.Tallies[i], s.Tallies[j]
		if a.Minute != b.Minute {
			return a.Minute < b.Minute
		}
		if a.Account != b.Account {
			return a.Account < b.Account
		}
		return a.Service < b.Service
	})
	sort.Slice(s.Seconds, func(i, j int) bool {
		a, b := s.Seconds[i], s.Seconds[j]
		if a.Second != b.Second {
			return a.Second < b.Second
		}
		return a.Account < b.Account
	})
	sort.Slice(s.Usages, func(i, j int) bool {
		a, b := s.Usages[i], s.Usages[j]
		if a.Minute != b.Minute {
			return a.Minute < b.Minute
		}
		return a.Service < b.Service
	})
}
