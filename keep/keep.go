// Package keep hands the counts of a host to the platform, so that the burn
// report knows of hosts that have been replaced.
package keep

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/sums"
)

const (
	prefix   = "burn/"
	lastCall = 2 * time.Second
	// old is the longest window of the report.
	old = 6 * time.Hour
)

// Keep writes what is new at each interval and when the host ends: one object
// and one row. A host that dies without a word loses what it counted since the
// last interval, and the report has no way to know it; that is the price of
// two writes in five minutes in place of two a second.
type Keep struct {
	// Clock spaces the writes.
	Clock clockwork.Clock
	// Log receives one line for each write that failed.
	Log *log.Logger
	// Platform keeps the counts.
	Platform store.Store
	// Every is the time between two writes.
	Every time.Duration
	// Sums returns the host's counts.
	Sums func() sums.Sums

	from time.Time
	next int
	own  []string
}

// entry is the content of a row.
type entry struct {
	Host        string
	Incarnation uint64
	At          time.Time
	Hash        string
}

// Run writes until ctx ends, and then once more.
func (k *Keep) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			x, f := context.WithTimeout(context.WithoutCancel(ctx), lastCall)
			defer f()
			k.save(x, k.Clock.Now().Add(time.Minute))
			return nil
		case <-k.Clock.After(k.Every):
			// The running minute goes with the next write, whole.
			k.save(ctx, k.Clock.Now().Truncate(time.Minute))
		}
	}
}

// save writes what was counted before to. What could not be written goes with
// the next write.
func (k *Keep) save(ctx context.Context, to time.Time) {
	s := between(k.Sums(), k.from, to)
	if len(s.Tallies) == 0 && len(s.Drains) == 0 {
		k.from = to
		return
	}
	if err := k.write(ctx, s); err != nil {
		k.Log.Warn("counts not kept", "Error", err)
		return
	}
	k.from = to
}

func (k *Keep) write(ctx context.Context, s sums.Sums) error {
	b, err := codec.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "counts")
	}
	e := entry{Host: s.Host, Incarnation: s.Incarnation, At: s.At, Hash: accepted.Hash(b)}
	if err := k.Platform.PutObject(ctx, prefix+e.Hash, b); err != nil {
		return err
	}
	v, err := codec.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "counts")
	}
	r := row.Row{Key: fmt.Sprintf("%s%s/%016x/%06d", prefix, s.Host, s.Incarnation, k.next), Value: v}
	c := commit.Commit{Put: []row.Row{r}}
	n := int(old / k.Every)
	if len(k.own) > n {
		c.Delete = []string{k.own[0]}
	}
	// Writing the same row twice does no harm, so a lost answer is no matter.
	if _, err := k.Platform.Commit(ctx, c); err != nil {
		return err
	}
	k.next++
	k.own = append(k.own, r.Key)
	if c.Delete != nil {
		k.own = k.own[1:]
	}
	return nil
}

// Kept returns the counts of processes that no longer run, and removes the
// rows that are older than the longest window. Alive tells which processes
// answer for themselves.
func (k *Keep) Kept(ctx context.Context, alive func(host string, incarnation uint64) bool) ([]sums.Sums, error) {
	l, err := k.Platform.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var r []sums.Sums
	var c commit.Commit
	for _, v := range l {
		var e entry
		if err := codec.Unmarshal(v.Value, &e); err != nil {
			return nil, errors.Wrap(err, "kept counts")
		}
		if k.Clock.Since(e.At) > old {
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
		// Nobody needs these rows; the next report tries again.
		_, _ = k.Platform.Commit(ctx, c)
	}
	return r, nil
}

func (k *Keep) read(ctx context.Context, hash string) (sums.Sums, error) {
	var s sums.Sums
	b, err := k.Platform.GetObject(ctx, prefix+hash)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(codec.Unmarshal(b, &s), "kept counts")
}

// between returns what was counted in a time. Histograms are left out: they
// are not cut by time, and the report says for which hosts it has them.
func between(s sums.Sums, from, to time.Time) sums.Sums {
	r := sums.Sums{Host: s.Host, Incarnation: s.Incarnation, Region: s.Region, At: s.At}
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
