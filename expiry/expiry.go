// Package expiry removes the idempotency records whose retention period has
// ended.
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
	// bucketSpan is the time range of the records that are listed under one key
	// prefix. The full table is too large to be scanned.
	bucketSpan = time.Minute
	layout     = "200601021504"
	// maxBacklog is how far back a new sweeper looks for records that a failed
	// sweeper left.
	maxBacklog = 6 * time.Hour
	// scanPause limits the read rate on the store while a backlog is swept.
	scanPause        = 50 * time.Millisecond
	deleteBatchLimit = 64
)

// Expiry removes records after Retention. Until then a repeated request gets
// the recorded answer. After it, the id of the request counts as new, so
// callers must not repeat a request after Retention. Keeping records without
// limit would fill the platform's table: 300 enrolments per second are 26
// million rows a day.
type Expiry struct {
	// Clock provides the wall-clock time.
	Clock clockwork.Clock
	// Log receives one line for each sweep that removed records or failed.
	Log *log.Logger
	// Store holds the records.
	Store store.Store
	// Retention is how long a record is kept.
	Retention time.Duration
	// IsSweeper reports whether this host is the one that sweeps. Two sweepers at
	// a time only cost additional reads.
	IsSweeper func() bool

	nextBucket time.Time
}

// IndexRows returns the index row that lists a record by its start time. The
// index row is written in the same commit as the record.
func IndexRows(key string, started time.Time) []row.Row {
	return []row.Row{{Key: bucketPrefix(started) + key, Value: []byte(key)}}
}

// Run sweeps until ctx ends.
func (e *Expiry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.IsSweeper() {
			e.sweep(ctx)
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(bucketSpan):
		}
	}
	return nil
}

// sweep removes the records of the buckets that are due.
func (e *Expiry) sweep(ctx context.Context) {
	d := e.Clock.Now().UTC().Add(-e.Retention - bucketSpan).Truncate(bucketSpan)
	if b := d.Add(-maxBacklog); e.nextBucket.Before(b) {
		e.nextBucket = b
	}
	n := 0
	for ; !e.nextBucket.After(d) && ctx.Err() == nil; e.nextBucket = e.nextBucket.Add(bucketSpan) {
		r, err := e.sweepBucket(ctx, e.nextBucket)
		if err != nil {
			e.Log.Warn("failed to remove expired records", "Bucket", e.nextBucket, "Error", err)
			return
		}
		n += r
		if e.nextBucket.Before(d) {
			e.pause(ctx)
		}
	}
	if n > 0 {
		e.Log.Info("expired records removed", "Count", n)
	}
}

func (e *Expiry) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Clock.After(scanPause):
	}
}

// sweepBucket removes the expired records of one bucket and returns their
// number.
func (e *Expiry) sweepBucket(ctx context.Context, t time.Time) (int, error) {
	l, err := e.Store.Scan(ctx, bucketPrefix(t))
	if err != nil {
		return 0, err
	}
	n := 0
	for len(l) > 0 {
		p := l[:min(len(l), deleteBatchLimit)]
		l = l[len(p):]
		r, err := e.remove(ctx, p)
		if err != nil {
			return n, err
		}
		n += r
	}
	return n, nil
}

// remove deletes expired records with their index rows. The delete is
// conditional on the versions that were read: a new attempt may have taken over
// a void record since then, and deleting its record would let the request run
// twice. A batch whose condition fails is left to a later sweep.
func (e *Expiry) remove(ctx context.Context, index []row.Row) (int, error) {
	var c commit.Commit
	n := 0
	for _, x := range index {
		k := string(x.Value)
		o, err := e.Store.Read(ctx, k)
		if err != nil {
			return 0, err
		}
		c.Delete = append(c.Delete, x.Key)
		if o.Version == 0 || !e.expired(o) {
			continue
		}
		c.Expect = append(c.Expect, row.Row{Key: k, Version: o.Version})
		c.Delete = append(c.Delete, k)
		n++
	}
	ok, err := e.Store.Commit(ctx, c)
	if err != nil || !ok {
		return 0, err
	}
	return n, nil
}

// expired reports whether the retention period of a record has ended. A newer
// attempt under the same key has an index row of its own.
func (e *Expiry) expired(o row.Row) bool {
	var v record.Record
	if err := codec.Unmarshal(o.Value, &v); err != nil {
		return false
	}
	return e.Clock.Since(v.Started) >= e.Retention
}

// bucketPrefix returns the key prefix of the index rows of a bucket.
func bucketPrefix(t time.Time) string {
	return prefix + t.UTC().Format(layout) + "/"
}
