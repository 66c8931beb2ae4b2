// Package rowcache decodes rows of the platform's table once for each version.
package rowcache

import (
	"sync"

	"celeryreach.example/celeryreach/row"
)

// Rowcache holds the decoded rows of one table. Rows may come from untrusted writers: one that
// can't be decoded is left out, and the others hold.
type Rowcache[T any] struct {
	// Decode decodes one row. An error means that the row describes nothing to use.
	Decode func(r row.Row) (T, error)
	// OnError is called once for each version of a row that Decode rejects. Nil ignores it.
	OnError func(r row.Row, err error)

	mu   sync.Mutex
	rows map[string]decoded[T]
}

type decoded[T any] struct {
	version uint64
	value   T
	ok      bool
}

// Values returns the values of all rows that can be decoded, and forgets rows that are not
// among them any more.
func (c *Rowcache[T]) Values(rows map[string]row.Row) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]decoded[T], len(rows))
	var l []T
	for k, r := range rows {
		d, ok := c.rows[k]
		if !ok || d.version != r.Version {
			d = c.decode(r)
		}
		m[k] = d
		if d.ok {
			l = append(l, d.value)
		}
	}
	c.rows = m
	return l
}

func (c *Rowcache[T]) decode(r row.Row) decoded[T] {
	v, err := c.Decode(r)
	if err != nil && c.OnError != nil {
		c.OnError(r, err)
	}
	return decoded[T]{version: r.Version, value: v, ok: err == nil}
}
