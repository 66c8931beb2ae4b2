package expiry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

func put(t *testing.T, s *memorytable.Memorytable, key string, at time.Time) {
	b, err := codec.Marshal(record.Record{Attempt: key, Started: at, State: record.Done})
	must.NoError(t, err)
	s.Commit(commit.Commit{Put: append(IndexRows(key, at), row.Row{Key: key, Value: b})})
}

// TestRecordsExpire checks that a record is kept until the end of its retention
// period and removed after it. An id whose void record was taken over by a
// later attempt keeps the newer record, since removing it would let the request
// run twice.
func TestRecordsExpire(t *testing.T) {
	c := clockwork.NewFakeClock()
	s := new(memorytable.Memorytable)
	e := &Expiry{
		Clock: c, Log: log.New(io.Discard), Retention: 24 * time.Hour,
		Store: store.Store{
			Read:   func(_ context.Context, k string) (row.Row, error) { return s.Read(k), nil },
			Scan:   func(_ context.Context, k string) ([]row.Row, error) { return s.Scan(k), nil },
			Commit: func(_ context.Context, m commit.Commit) (bool, error) { return s.Commit(m), nil },
		},
	}
	put(t, s, "idempotency/camp/old", c.Now())
	put(t, s, "idempotency/camp/taken-over", c.Now())
	c.Advance(time.Hour)
	put(t, s, "idempotency/camp/taken-over", c.Now())

	c.Advance(23*time.Hour - bucketSpan)
	sweep(t, c, e)
	must.SliceLen(t, 2, s.Scan("idempotency/"))
	c.Advance(4 * bucketSpan)
	sweep(t, c, e)
	must.Eq(t, 0, s.Read("idempotency/camp/old").Version)
	must.NotEq(t, 0, s.Read("idempotency/camp/taken-over").Version)
	must.SliceLen(t, 1, s.Scan(prefix))
	c.Advance(time.Hour)
	sweep(t, c, e)
	must.SliceEmpty(t, s.Scan(""))
}

// sweep advances the clock through the pauses between the buckets.
func sweep(t *testing.T, c *clockwork.FakeClock, e *Expiry) {
	d := make(chan struct{})
	go func() {
		defer close(d)
		e.sweep(t.Context())
	}()
	for {
		select {
		case <-d:
			return
		case <-time.After(10 * time.Microsecond): //nolint:forbidigo // lets the sweep reach its pause
			c.Advance(scanPause)
		}
	}
}
