// Package roster holds the hosts that look-ups choose from, by region.
package roster

import (
	"reflect"
	"sort"
	"sync"
	"sync/atomic"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
)

// maxCachedPreferences limits the cache, since anyone may send look-ups with
// any account name.
const maxCachedPreferences = 100_000

// Roster is immutable except for its cache of preferences. A change of the
// hosts requires a new Roster.
type Roster struct {
	// Regions are the names of the regions that have hosts, sorted.
	Regions []string

	hosts   map[string][]member.Member
	weights map[string][]float64
	totals  map[string]float64

	preferences     sync.Map // preferenceKey to []int
	preferenceCount atomic.Int64
}

type preferenceKey struct {
	account, region string
}

// New returns the roster of the hosts that accept new requests. The function
// slots returns how many requests the backend servers of a failure domain run
// at once. The weight of each host is an equal part of the slots of its domain,
// but at least 1.
func New(m []member.Member, slots func(domain string) int) *Roster {
	r := &Roster{hosts: make(map[string][]member.Member), weights: make(map[string][]float64), totals: make(map[string]float64)}
	n := make(map[string]int)
	for _, v := range m {
		if !v.Leaving && !v.Starting {
			n[v.Domain]++
		}
	}
	for _, v := range m {
		if v.Leaving || v.Starting {
			continue
		}
		w := max(1, float64(slots(v.Domain))/float64(n[v.Domain]))
		if r.hosts[v.Region] == nil {
			r.Regions = append(r.Regions, v.Region)
		}
		r.hosts[v.Region] = append(r.hosts[v.Region], v)
		r.weights[v.Region] = append(r.weights[v.Region], w)
		r.totals[v.Region] += w
	}
	sort.Strings(r.Regions)
	return r
}

// Hosts returns a region's hosts and their weights.
func (r *Roster) Hosts(region string) ([]member.Member, []float64) {
	return r.hosts[region], r.weights[region]
}

// Preferred returns the indexes of the first n hosts of a region in the order
// that an account prefers. The result is cached by account and region, since
// the cost of computing it grows with the number of hosts in the region. The
// cache does not depend on n, so all calls must pass the same n.
func (r *Roster) Preferred(account, region string, n int) []int {
	k := preferenceKey{account: account, region: region}
	if v, ok := r.preferences.Load(k); ok {
		return v.([]int)
	}
	h, w := r.Hosts(region)
	s := make([]float64, len(h))
	o := make([]int, len(h))
	for i := range h {
		o[i] = i
		s[i] = rendezvous.Score(account, h[i].Name, w[i])
	}
	sort.Slice(o, func(i, j int) bool { return s[o[i]] > s[o[j]] })
	o = append([]int(nil), o[:min(n, len(o))]...)
	if r.preferenceCount.Load() < maxCachedPreferences {
		r.preferenceCount.Add(1)
		r.preferences.Store(k, o)
	}
	return o
}

// Equal reports whether both rosters have the same hosts with the same weights.
func (r *Roster) Equal(o *Roster) bool {
	return reflect.DeepEqual(r.hosts, o.hosts) && reflect.DeepEqual(r.weights, o.weights)
}

// Weight returns the sum of the weights of a region's hosts.
func (r *Roster) Weight(region string) float64 {
	return r.totals[region]
}
