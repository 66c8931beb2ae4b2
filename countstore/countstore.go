// Package countstore stores the counters of a host on the platform, so that the burn
// report includes hosts that have been replaced.
package countstore

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	prefix            = "burn/"
	finalWriteTimeout = 2 * time.Second
	// retention is the longest window of the report.
	retention = 6 * time.Hour
	// maxWrites is how many rows one save writes at most: a second one if the first has the counts of
	// an earlier save.
	maxWrites = 2
)

// Countstore writes the new counts as one object and one row, at each interval and on
// shutdown. A host that crashes loses the counts since the last interval, and
// the report cannot detect the loss. That is the price of two writes in five
// minutes instead of two per second.
type Countstore struct {
	// Clock paces the writes.
	Clock clockwork.Clock
	// Log receives one line for each failed write.
	Log *log.Logger
	// Store holds the counts.
	Store store.Store
	// Interval is the interval between two writes.
	Interval time.Duration
	// Counts returns the host's counts.
	Counts func() hostcounts.Hostcounts

	savedUntil   time.Time
	nextSequence int
	ownKeys      []string
	// attempts are the writes of the next row so far, by hash, with the time until which they have
	// counts. One without an answer may still take effect.
	attempts map[string]time.Time
}

// entry is the content of a row.
type entry struct {
	Host        string
	Incarnation uint64
	At          time.Time
	Hash        string
}

// Run writes at each interval until ctx ends, and then once more.
func (k *Countstore) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			x, f := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
			defer f()
			k.save(x, k.Clock.Now().Add(time.Minute))
			return nil
		case <-k.Clock.After(k.Interval):
			// The current minute is incomplete and is left to the next write.
			k.save(ctx, k.Clock.Now().Truncate(time.Minute))
		}
	}
}

// save writes the counts before to. Counts that could not be written are
// included in the next write.
func (k *Countstore) save(ctx context.Context, to time.Time) {
	for range maxWrites {
		s := between(k.Counts(), k.savedUntil, to)
		if len(s.Tallies) == 0 && len(s.Drains) == 0 {
			k.savedUntil = to
			return
		}
		if err := k.write(ctx, s, to); err != nil {
			k.Log.Warn("failed to store counts", "Error", err)
			return
		}
		if !k.savedUntil.Before(to) {
			return
		}
	}
}

// write writes the counts up to a time to the next row. The row must not exist: an earlier write of
// it, with fewer counts, may take effect late. If one has, write adopts it and writes nothing.
func (k *Countstore) write(ctx context.Context, s hostcounts.Hostcounts, to time.Time) error {
	b, err := codec.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "counts")
	}
	e := entry{Host: s.Host, Incarnation: s.Incarnation, At: s.At, Hash: acceptedversion.Hash(b)}
	if err := k.Store.PutObject(ctx, prefix+e.Hash, b); err != nil {
		return err
	}
	v, err := codec.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "counts")
	}
	r := row.Row{Key: fmt.Sprintf("%s%s/%016x/%06d", prefix, s.Host, s.Incarnation, k.nextSequence), Value: v}
	c := commit.Commit{Expect: []row.Row{{Key: r.Key}}, Put: []row.Row{r}}
	if len(k.ownKeys) > int(retention/k.Interval) {
		c.Delete = []string{k.ownKeys[0]}
	}
	if k.attempts == nil {
		k.attempts = make(map[string]time.Time)
	}
	k.attempts[e.Hash] = to
	switch ok, err := k.Store.Commit(ctx, c); {
	case err != nil:
		return err
	case !ok:
		if to, err = k.writtenUntil(ctx, r.Key); err != nil {
			return err
		}
	}
	k.savedUntil, k.attempts = to, nil
	k.nextSequence++
	k.ownKeys = append(k.ownKeys, r.Key)
	if c.Delete != nil {
		k.ownKeys = k.ownKeys[1:]
	}
	return nil
}

// writtenUntil returns until when an own row has counts.
func (k *Countstore) writtenUntil(ctx context.Context, key string) (time.Time, error) {
	l, err := k.Store.Scan(ctx, key)
	if err != nil {
		return time.Time{}, err
	}
	if len(l) == 0 {
		return time.Time{}, errors.New("counts: the row has vanished")
	}
	var e entry
	if err := codec.Unmarshal(l[0].Value, &e); err != nil {
		return time.Time{}, errors.Wrap(err, "own counts")
	}
	t, ok := k.attempts[e.Hash]
	if !ok {
		return time.Time{}, errors.New("counts: the row has another writer")
	}
	return t, nil
}

// Load returns the counts of processes that no longer run, and removes the rows
// that are older than the longest window. Alive reports whether a process still
// runs and therefore returns its counts itself.
func (k *Countstore) Load(ctx context.Context, alive func(host string, incarnation uint64) bool) ([]hostcounts.Hostcounts, error) {
	l, err := k.Store.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var r []hostcounts.Hostcounts
	var c commit.Commit
	for _, v := range l {
		var e entry
		if err := codec.Unmarshal(v.Value, &e); err != nil {
			return nil, errors.Wrap(err, "kept counts")
		}
		if k.Clock.Since(e.At) > retention {
			c.Delete = append(c.Delete, v.Key)
			continue
		}
		if alive(e.Host, e.Incarnation) {
			continue
		}
		s, err := k.read(ctx, e.Hash)
		if err != nil {
			return nil, err
		}
		r = append(r, s)
	}
	if len(c.Delete) > 0 {
		// These rows are no longer needed. After an error the next report deletes them.
		_, _ = k.Store.Commit(ctx, c)
	}
	return r, nil
}

func (k *Countstore) read(ctx context.Context, hash string) (hostcounts.Hostcounts, error) {
	var s hostcounts.Hostcounts
	b, err := k.Store.GetObject(ctx, prefix+hash)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(codec.Unmarshal(b, &s), "kept counts")
}

// between returns the counts of a time range. Histograms are left out, because
// they cannot be split by time; the report names the hosts whose histograms it
// includes.
func between(s hostcounts.Hostcounts, from, to time.Time) hostcounts.Hostcounts {
	r := hostcounts.Hostcounts{Host: s.Host, Incarnation: s.Incarnation, Region: s.Region, At: s.At}
	i := func(unix int64) bool { return unix >= from.Unix() && unix < to.Unix() }
	for _, v := range s.Tallies {
		if i(v.Minute * 60) {
			r.Tallies = append(r.Tallies, v)
		}
	}
	for _, v := range s.Usages {
		if i(v.Minute * 60) {
			r.Usages = append(r.Usages, v)
		}
	}
	for _, v := range s.Seconds {
		if i(v.Second) {
			r.Seconds = append(r.Seconds, v)
		}
	}
	for _, v := range s.Drains {
		if i(v.At.Unix()) {
			r.Drains = append(r.Drains, v)
		}
	}
	return r
}
