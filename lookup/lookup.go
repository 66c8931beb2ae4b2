// Package lookup tells callers which entry hosts to use.
package lookup

import (
	"net/http"
	"sort"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/snapshot"
)

// Lookup answers GET /lookup.
type Lookup struct {
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Hosts returns the hosts that are alive, this one included.
	Hosts func() []member.Member
}

// ServeHTTP answers one look-up.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := h.URL.Query()
	b, err := codec.Marshal(l.Find(q.Get("account"), q.Get("service"), q.Get("region")))
	if err != nil {
		panic(err) // an Answer holds nothing that JSON cannot
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // a failed write means that the caller left
}

// Find orders the hosts for an account: the caller's region first, then by
// rendezvous hashing, so that an account's callers meet on few hosts and its
// tokens are where they are.
func (l *Lookup) Find(account, service, region string) answer.Answer {
	m := l.Hosts()
	sort.Slice(m, func(i, j int) bool {
		if a, b := m[i].Region == region, m[j].Region == region; a != b {
			return a
		}
		return score(account, service, m[i].Name) > score(account, service, m[j].Name)
	})
	a := answer.Answer{}
	for _, v := range m {
		if !v.Leaving {
			a.EntryHosts = append(a.EntryHosts, v.CallerAddress)
		}
	}
	if s := l.Snapshot(); s != nil {
		a.TTL = s.Preset.LookupTTL
		a.ConfigVersion = s.Config.Version
	}
	return a
}

func score(account, service, host string) uint64 {
	return xxhash.Sum64String(account + "\x00" + service + "\x00" + host)
}
