// Package refusalaudit determines afterwards which refusals for a rate were wrongful.
package refusalaudit

import (
	"sort"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/secondcount"
)

// Wrongful returns, by second, how many refusals of an account would not have
// been made by a single token bucket for the requests of all hosts. The bucket
// starts full, and the tokens that it gains within a second can be used in that
// second. The order of requests within a second is not known and the wall
// clocks of hosts differ, so at the edge of a burst a count can be off by the
// tokens gained in that time.
func Wrongful(a account.Account, all []secondcount.Secondcount) map[int64]uint64 {
	r := make(map[int64]uint64)
	t := a.Burst
	var next int64
	for i, v := range sumByTime(a.Name, all) {
		if i > 0 {
			t = min(a.Burst, t+a.Rate*float64(v.Second-next))
		}
		next = v.Second + 1
		n := min(v.Admitted+v.Refused, uint64(t+a.Rate))
		t = min(a.Burst, t+a.Rate-float64(n))
		if n > v.Admitted {
			r[v.Second] = n - v.Admitted
		}
	}
	return r
}

// sumByTime sums the counts of an account over all hosts, ordered by time.
func sumByTime(name string, all []secondcount.Secondcount) []secondcount.Secondcount {
	m := make(map[int64]*secondcount.Secondcount)
	for _, v := range all {
		if v.Account != name {
			continue
		}
		s := m[v.Second]
		if s == nil {
			s = &secondcount.Secondcount{Second: v.Second, Account: name}
			m[v.Second] = s
		}
		s.Admitted += v.Admitted
		s.Refused += v.Refused
	}
	r := make([]secondcount.Secondcount, 0, len(m))
	for _, s := range m {
		r = append(r, *s)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Second < r[j].Second })
	return r
}
