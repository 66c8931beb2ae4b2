// Package expiry removes the records of requests that nobody repeats any more.
package expiry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	prefix = "idempotency-expiry/"
	// bucket is the part of time whose records are listed together: the whole
	// table is too large to be scanned.
	bucket = time.Minute
	layout = "200601021504"
	// backlog is how far back a new sweeper looks for what a lost one left.
	backlog = 6 * time.Hour
	// scanPause keeps a backlog from using up the store's reads.
	scanPause   = 50 * time.Millisecond
	deleteLimit = 64
)

// Expiry removes records after Retention. Until then a repetition gets the
// recorded answer; after it the id is new, so callers must not repeat a request
// for longer. Keeping records for ever would fill the platform's table: 300
// enrolments a second are 26 million rows a day.
type Expiry struct {
	// Clock tells the wall-clock time.
	Clock clockwork.Clock
	// Log receives one line for each sweep that removed something or failed.
	Log *log.Logger
	// Platform holds the records.
	Platform store.Store
	// Retention is how long a record is kept.
	Retention time.Duration
	// Sweeps reports whether this host is the one that sweeps. Two sweepers
	// cost reads, nothing else.
	Sweeps func() bool

	next time.Time
}

// Index returns the row that lists a record under the time of its start. It is
// written with the record, by the same commit.
func Index(key string, started time.Time) []row.Row {
	return []row.Row{{Key: list(started) + key, Value: []byte(key)}}
}

// Run sweeps until ctx ends.
func (e *Expiry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.Sweeps() {
			e.sweep(ctx)
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(bucket):
		}
	}
	return nil
}

// sweep goes through the buckets that are due.
func (e *Expiry) sweep(ctx context.Context) {
	d := e.Clock.Now().UTC().Add(-e.Retention - bucket).Truncate(bucket)
	if b := d.Add(-backlog); e.next.Before(b) {
		e.next = b
	}
	n := 0
	for ; !e.next.After(d) && ctx.Err() == nil; e.next = e.next.Add(bucket) {
		r, err := e.bucket(ctx, e.next)
		if err != nil {
			e.Log.Warn("records not swept", "Bucket", e.next, "Error", err)
			return
		}
		n += r
		if e.next.Before(d) {
			e.pause(ctx)
		}
	}
	if n > 0 {
		e.Log.Info("records swept", "Count", n)
	}
}

func (e *Expiry) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Clock.After(scanPause):
	}
}

// bucket removes the records of one bucket and returns how many there were.
func (e *Expiry) bucket(ctx context.Context, t time.Time) (int, error) {
	l, err := e.Platform.Scan(ctx, list(t))
	if err != nil {
		return 0, err
	}
	n := 0
	for len(l) > 0 {
		p := l[:min(len(l), deleteLimit)]
		l = l[len(p):]
		r, err := e.remove(ctx, p)
		if err != nil {
			return n, err
		}
		n += r
	}
	return n, nil
}

// remove deletes records with their index rows. The delete is conditional on
// what was read: a void record may have been taken over by a new attempt
// meanwhile, and deleting that one would let the request run twice. A commit
// that fails for this is made again by a later sweep.
func (e *Expiry) remove(ctx context.Context, index []row.Row) (int, error) {
	var c commit.Commit
	n := 0
	for _, x := range index {
		k := string(x.Value)
		o, err := e.Platform.Read(ctx, k)
		if err != nil {
			return 0, err
		}
		c.Delete = append(c.Delete, x.Key)
		if o.Version == 0 || !e.old(o) {
			continue
		}
		c.Expect = append(c.Expect, row.Row{Key: k, Version: o.Version})
		c.Delete = append(c.Delete, k)
		n++
	}
	ok, err := e.Platform.Commit(ctx, c)
	if err != nil || !ok {
		return 0, err
	}
	return n, nil
}

// old reports whether a record is past its time. A newer attempt has an index
// row of its own.
func (e *Expiry) old(o row.Row) bool {
	var v record.Record
	if err := codec.Unmarshal(o.Value, &v); err != nil {
		return false
	}
	return e.Clock.Since(v.Started) >= e.Retention
}

func list(t time.Time) string {
	return prefix + t.UTC().Format(layout) + "/"
}
