package idempotency

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
)

const (
	// flushBatchLimit is the maximum number of ended attempts in one commit.
	flushBatchLimit = 32
	// flushInterval is the time between two commits of ended attempts. No
	// caller waits for these commits, so the attempts are batched.
	flushInterval = 100 * time.Millisecond
	// flushRetryDelay is the delay before the next write after the store has
	// failed.
	flushRetryDelay = 250 * time.Millisecond
	// flushTimeout bounds the last writes during shutdown, so that an
	// unresponsive store does not delay the end of the process.
	flushTimeout = 2 * time.Second
)

// Run writes the records of ended attempts until ctx ends, and then those that
// remain. If the store is unavailable at that point, other hosts answer the
// unwritten ids with "outcome unknown" and never run them again.
func (i *Idempotency) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p := flushInterval
		if !i.flush(ctx) {
			p = flushRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-i.Clock.After(p):
			i.waitForPending(ctx)
		}
	}
	x, f := deadline.With(context.WithoutCancel(ctx), i.Clock, flushTimeout)
	defer f()
	for i.pendingCount() > 0 && x.Err() == nil {
		if !i.flush(x) {
			i.pause(x)
		}
	}
	return nil
}

// pendingCount returns the number of ended attempts whose record is not stored
// yet.
func (i *Idempotency) pendingCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.pending)
}

// waitForPending returns when an ended attempt has to be written or ctx ends.
func (i *Idempotency) waitForPending(ctx context.Context) {
	if i.pendingCount() > 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-i.wakeChannel():
	}
}

// wakeChannel returns the channel that receives a value when an attempt ends.
func (i *Idempotency) wakeChannel() chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
	}
	return i.wake
}

// end makes r the final record of an attempt. Until the store has the record of
// a void attempt, this process remembers that the attempt did not run, and lets
// the next attempt take over the row. The caller holds the lock.
func (i *Idempotency) end(a *attempt, r record.Record) {
	a.record = r
	if r.State == record.Void {
		i.voided[r.Attempt] = true
	}
	close(a.done)
	i.pending = append(i.pending, a)
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// flush writes a batch of pending records and reports whether the store
// accepted all of it.
func (i *Idempotency) flush(ctx context.Context) bool {
	i.mu.Lock()
	n := min(len(i.pending), flushBatchLimit)
	p := append([]*attempt(nil), i.pending[:n]...)
	i.mu.Unlock()
	if n == 0 {
		return true
	}
	s := i.writeBatch(ctx, p)
	if s == nil {
		s = i.writeEach(ctx, p)
	}
	return i.removeWritten(p, s)
}

// writeEach writes the records one by one. It stops at the first error of the
// store, because each further write could wait for the store in turn.
func (i *Idempotency) writeEach(ctx context.Context, p []*attempt) []bool {
	s := make([]bool, len(p))
	for j, a := range p {
		ok, err := i.writeOne(ctx, a)
		if err != nil {
			break
		}
		s[j] = ok
	}
	return s
}

// writeBatch writes all records in one commit. It returns nil if they could not
// be written together.
func (i *Idempotency) writeBatch(ctx context.Context, p []*attempt) []bool {
	var c commit.Commit
	s := make([]bool, len(p))
	for j, a := range p {
		s[j] = true
		if a.version == 0 {
			return nil
		}
		c.Expect = append(c.Expect, row.Row{Key: a.key, Version: a.version})
		c.Put = append(c.Put, row.Row{Key: a.key, Value: marshal(a.record)})
	}
	if ok, err := i.Store.Commit(ctx, c); err != nil || !ok {
		return nil
	}
	return s
}

// writeOne reads the row of an attempt and then writes its record. It changes
// only a row of this attempt. It also fills an absent row, so that an insert
// that is still in flight fails its version check.
func (i *Idempotency) writeOne(ctx context.Context, a *attempt) (bool, error) {
	o, err := i.Store.Read(ctx, a.key)
	if err != nil {
		return false, err
	}
	if o.Version != 0 {
		var v record.Record
		if err := codec.Unmarshal(o.Value, &v); err != nil {
			return true, nil
		}
		if v.Attempt != a.record.Attempt || v.State != record.Running {
			return true, nil
		}
	}
	return i.Store.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: a.key, Version: o.Version}},
		Put:    []row.Row{{Key: a.key, Value: marshal(a.record)}},
	})
}

// removeWritten removes the attempts whose records are stored from the pending
// ones, and reports whether none remains of p.
func (i *Idempotency) removeWritten(p []*attempt, s []bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = i.pending[len(p):]
	k := true
	for j, a := range p {
		if !s[j] {
			i.pending = append(i.pending, a)
			k = false
			continue
		}
		i.removeActive(a)
		delete(i.voided, a.record.Attempt)
	}
	return k
}

func marshal(r record.Record) []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic(err) // a Record always encodes as JSON
	}
	return b
}
