// Package memorytable implements a transactional table in memory.
package memorytable

import (
	"sort"
	"strings"
	"sync"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
)

// Memorytable simulates the platform's table service.
type Memorytable struct {
	mu     sync.Mutex
	rows   map[string]row.Row
	writes uint64
	reads  uint64
}

// Read returns a row; the Version of an absent row is zero.
func (t *Memorytable) Read(key string) row.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	r, ok := t.rows[key]
	if !ok {
		return row.Row{Key: key}
	}
	return r
}

// Scan returns the rows whose key starts with prefix, in key order.
func (t *Memorytable) Scan(prefix string) []row.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var r []row.Row
	for k, v := range t.rows {
		if strings.HasPrefix(k, prefix) {
			r = append(r, v)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key < r[j].Key })
	return r
}

// Commit applies a transaction and reports whether its expected versions
// matched.
func (t *Memorytable) Commit(c commit.Commit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, e := range c.Expect {
		if t.rows[e.Key].Version != e.Version {
			return false
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]row.Row)
	}
	for _, p := range c.Put {
		p.Version = t.rows[p.Key].Version + 1
		t.rows[p.Key] = p
	}
	for _, k := range c.Delete {
		delete(t.rows, k)
	}
	return true
}

// Operations returns the number of reads and commits so far.
func (t *Memorytable) Operations() (reads, writes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
