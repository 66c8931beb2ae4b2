package reachability

import (
	"context"
	"slices"
	"time"

	"celeryreach.example/celeryreach/backend"
)

const (
	// firstProbeDelay is the time from a failed dial to the first probe: a lost packet
	// must not keep a backend server out of use.
	firstProbeDelay = 50 * time.Millisecond
	// probeInterval is the time between two probes of a backend server that is out of
	// reach, and minProbeSpacing the time between two probes of any of them.
	probeInterval   = 500 * time.Millisecond
	minProbeSpacing = 50 * time.Millisecond
	// confirmedTogether is how long after a confirmed loss a single failed dial confirms the
	// next.
	confirmedTogether = time.Second
	// maxProbes limits the probes that run at the same time.
	maxProbes = 32
	// probesPerChange is how many other paths are probed when one is lost or restored.
	// Paths that were lost together are then found in a few round trips, and a single
	// loss costs few connections.
	probesPerChange = 4
	// recentlyHeard is the time since the last response of a backend server within which
	// a late request is no reason to probe it.
	recentlyHeard = 300 * time.Millisecond
	// confirmInterval is the time between two probes of a backend server that other hosts
	// have lost.
	confirmInterval = 300 * time.Millisecond
	// notifyDelay collects paths that are lost together into one report to other hosts.
	notifyDelay = 100 * time.Millisecond
)

// Run probes paths until ctx ends.
func (r *Reachability) Run(ctx context.Context) error {
	done := make(chan struct{})
	n := 0
	for ctx.Err() == nil {
		a, d, k := r.next(n < maxProbes)
		if k {
			r.Notify()
		}
		if a != "" {
			n++
			go func() {
				r.Probe(ctx, a)
				r.endProbe(a)
				done <- struct{}{}
			}()
			continue
		}
		var t <-chan time.Time
		if d > 0 {
			t = r.Clock.After(d)
		}
		select {
		case <-ctx.Done():
		case <-done:
			n--
		case <-r.wake:
		case <-t:
		}
	}
	for ; n > 0; n-- {
		<-done
	}
	return nil
}

// Suspect probes b unless a probe was made recently: a request there takes much longer
// than is usual, and its connection may be dead.
func (r *Reachability) Suspect(b backend.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.Clock.Now()
	if p := r.paths[b.Address]; p != nil && p.lostAt.IsZero() && n.Sub(p.probed) >= probeInterval && n.Sub(p.heardAt) >= recentlyHeard {
		r.schedule(p, n)
	}
}

// Confirm probes the backend servers that another host has lost, so that all hosts know soon
// whether a backend server or a link is down. A response from before it went down proves
// nothing.
func (r *Reachability) Confirm(hashes []uint32) {
	if len(hashes) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.Clock.Now()
	for _, p := range r.paths {
		if p.lostAt.IsZero() && slices.Contains(hashes, Hash(p.backend.Name)) {
			r.schedule(p, n.Add(max(0, confirmInterval-n.Sub(p.probed))))
		}
	}
}

// next returns the address of a path to probe now, or the time until something is due;
// notify reports whether other hosts are to be told.
func (r *Reachability) next(mayProbe bool) (address string, d time.Duration, notify bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.Clock.Now()
	if !r.notifyAt.IsZero() && !r.notifyAt.After(n) {
		r.notifyAt, notify = time.Time{}, true
	}
	first := r.notifyAt
	var m *path
	for _, p := range r.paths {
		if p.probing || p.probeAt.IsZero() || !mayProbe || m != nil && !p.probeAt.Before(m.probeAt) {
			continue
		}
		m = p
	}
	if m != nil && !m.probeAt.After(n) {
		m.probing, m.probed, m.probeAt = true, n, time.Time{}
		return m.backend.Address, 0, notify
	}
	if m != nil && (first.IsZero() || m.probeAt.Before(first)) {
		first = m.probeAt
	}
	if first.IsZero() {
		return "", 0, notify
	}
	return "", first.Sub(n), notify
}

// endProbe records the end of a probe. A path that is lost is probed again, also if the
// probe had no result.
func (r *Reachability) endProbe(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[address]
	if p == nil {
		return
	}
	p.probing = false
	if !p.lostAt.IsZero() && p.probeAt.IsZero() {
		p.probeAt = r.Clock.Now().Add(r.probeDelay())
	}
}

// lose records a failed dial. A loss that it confirms probes some of the other paths.
func (r *Reachability) lose(p *path, now time.Time) {
	first := p.lostAt.IsZero()
	if first {
		p.lostAt, p.lastLostAt = now, now
		r.lost++
		r.updateAnyLost()
	}
	switch {
	case p.confirmed:
		p.probeAt = now.Add(r.probeDelay())
	case first && now.Sub(r.lastLoss) > confirmedTogether:
		p.probeAt = now.Add(firstProbeDelay)
		r.wakeUp()
	default:
		p.confirmed, r.lastLoss = true, now
		p.probeAt = now.Add(r.probeDelay())
		r.notifySoon(now)
		r.probeOthers(func(v *path) bool { return v.lostAt.IsZero() && v.heardAt.Before(now) }, now)
	}
}

// restore records an opened connection. The end of a confirmed loss probes some of the paths
// that are lost.
func (r *Reachability) restore(p *path, now time.Time) {
	r.hear(p, now)
	p.probeAt = time.Time{}
	if p.lostAt.IsZero() {
		return
	}
	p.lostAt = time.Time{}
	r.lost--
	r.updateAnyLost()
	if !p.confirmed {
		return
	}
	p.confirmed = false
	r.notifySoon(now)
	r.probeOthers(func(v *path) bool { return !v.lostAt.IsZero() }, now)
}

func (r *Reachability) notifySoon(now time.Time) {
	if r.notifyAt.IsZero() {
		r.notifyAt = now.Add(notifyDelay)
	}
	r.wakeUp()
}

// probeOthers probes up to probesPerChange of the matching paths, those first that were
// not heard for longest.
func (r *Reachability) probeOthers(match func(*path) bool, now time.Time) {
	var l []*path
	for _, p := range r.paths {
		if !p.probing && match(p) && (p.probeAt.IsZero() || p.probeAt.After(now)) {
			l = append(l, p)
		}
	}
	slices.SortFunc(l, func(a, b *path) int { return a.heardAt.Compare(b.heardAt) })
	for _, p := range l[:min(len(l), probesPerChange)] {
		p.probeAt = now
	}
	r.wakeUp()
}

func (r *Reachability) schedule(p *path, at time.Time) {
	if p.probing || !p.probeAt.IsZero() && !p.probeAt.After(at) {
		return
	}
	p.probeAt = at
	r.wakeUp()
}

// probeDelay returns the time to the next probe of a path that is lost.
func (r *Reachability) probeDelay() time.Duration {
	return max(probeInterval, time.Duration(r.lost)*minProbeSpacing)
}

func (r *Reachability) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
