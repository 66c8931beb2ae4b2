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
	// endLimit is the greatest number of ended attempts in one commit.
	endLimit = 32
	// endPause is the time between two commits of ended attempts: nobody
	// waits for them, so they are gathered.
	endPause = 100 * time.Millisecond
	// failPause is the time before a store that failed is tried again.
	failPause = 250 * time.Millisecond
	// flushTimeout bounds the last writes of a host that shuts down: a silent
	// store must not hold up the end of the process.
	flushTimeout = 2 * time.Second
)

// Run writes the records of ended attempts until ctx ends, and then those that
// are left. What a dead store still does not take is answered "outcome
// unknown" by the other hosts, never run again.
func (i *Idempotency) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p := endPause
		if !i.flush(ctx) {
			p = failPause
		}
		select {
		case <-ctx.Done():
		case <-i.Clock.After(p):
			i.sleep(ctx)
		}
	}
	x, f := deadline.With(context.WithoutCancel(ctx), i.Clock, flushTimeout)
	defer f()
	for i.left() > 0 && x.Err() == nil {
		if !i.flush(x) {
			i.pause(x)
		}
	}
	return nil
}

// left returns the number of ended attempts that the store does not know yet.
func (i *Idempotency) left() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.pending)
}

func (i *Idempotency) sleep(ctx context.Context) {
	if i.left() > 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-i.woken():
	}
}

func (i *Idempotency) woken() chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
	}
	return i.wake
}

// end makes r the final record of an attempt. Until the store knows a void one,
// this process knows that the attempt did not run, and lets the next one have
// the row. The caller holds the lock.
func (i *Idempotency) end(a *attempt, r record.Record) {
	a.record = r
	if r.State == record.Void {
		i.given[r.Attempt] = true
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

// flush writes what is pending and reports whether the store took all of it.
func (i *Idempotency) flush(ctx context.Context) bool {
	i.mu.Lock()
	n := min(len(i.pending), endLimit)
	p := append([]*attempt(nil), i.pending[:n]...)
	i.mu.Unlock()
	if n == 0 {
		return true
	}
	s := i.together(ctx, p)
	if s == nil {
		s = i.each(ctx, p)
	}
	return i.settled(p, s)
}

// each writes the records one by one, and stops when the store does not answer:
// the others would only wait for it in turn.
func (i *Idempotency) each(ctx context.Context, p []*attempt) []bool {
	s := make([]bool, len(p))
	for j, a := range p {
		ok, err := i.alone(ctx, a)
		if err != nil {
			break
		}
		s[j] = ok
	}
	return s
}

// together writes all records with one commit; nil says that it did not work.
func (i *Idempotency) together(ctx context.Context, p []*attempt) []bool {
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
	if ok, err := i.Platform.Commit(ctx, c); err != nil || !ok {
		return nil
	}
	return s
}

// alone writes one record after reading the row: only a row of the attempt
// itself is changed, and an absent one is filled, so that an insert that still
// travels fails its expectation.
func (i *Idempotency) alone(ctx context.Context, a *attempt) (bool, error) {
	o, err := i.Platform.Read(ctx, a.key)
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
	return i.Platform.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: a.key, Version: o.Version}},
		Put:    []row.Row{{Key: a.key, Value: marshal(a.record)}},
	})
}

// settled takes the attempts that the store knows off the list.
func (i *Idempotency) settled(p []*attempt, s []bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = i.pending[len(p):]
	all := true
	for j, a := range p {
		if !s[j] {
			i.pending = append(i.pending, a)
			all = false
			continue
		}
		i.forget(a)
		delete(i.given, a.record.Attempt)
	}
	return all
}

func marshal(r record.Record) []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic(err) // a Record holds nothing that JSON cannot
	}
	return b
}
