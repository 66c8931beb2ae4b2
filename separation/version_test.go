package separation_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/wire"
)

// convergenceRounds is the number of heartbeat rounds within which all hosts must have
// the same version after the network works again and one host has read the platform. A
// relay does not retry a failed peer for one second, which is five rounds. Two further
// rounds are added.
const convergenceRounds = 7

var verbs = []string{"commit", "commit", "lose", "poll", "beat", "round", "cut", "heal", "restart", "store", "torn"}

// action is one step of a random schedule. A and B select hosts or the platform.
type action struct {
	Verb string
	A, B int
}

// schedules generates random schedules.
func schedules() *rapid.Generator[[]action] {
	a := rapid.Custom(func(t *rapid.T) action {
		return action{
			Verb: rapid.SampledFrom(verbs).Draw(t, "verb"),
			A:    rapid.IntRange(0, 4).Draw(t, "a"), B: rapid.IntRange(0, 4).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(a, 1, 60)
}

// If a host's configuration went back to an older version, that host would again accept
// a withdrawn key or allow an earlier, higher rate. The schedules mix commits with
// lost answers, reads, relays, restarts, one-way partitions, truncated contents and
// store outages. No process's version may decrease, a version may have only one
// content, and after all faults end every host must have the newest version within
// convergenceRounds.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		must.NoError(t, runSchedule(schedules().Draw(t, "schedule"), false))
	})
}

// The check of TestVersionNeverDecreases must detect a faulty host that adopts
// whatever version it receives last, without comparing versions.
func TestVersionDecreaseIsDetected(t *testing.T) {
	for i := range 200 {
		if runSchedule(schedules().Example(i), true) != nil {
			return
		}
	}
	t.Fatal("no schedule detected the faulty variant")
}

// runSchedule runs a schedule on four hosts and returns the first violated invariant.
// With broken set, the hosts adopt any version that they receive.
func runSchedule(s []action, broken bool) error {
	w := newCluster()
	n := []string{"a", "b", "c", "d", platformName}
	for i, k := range n[:4] {
		w.startHost(k, fmt.Sprintf("domain-%d", i/2), "lagos").acceptsAny = broken
	}
	c := newChecker()
	for i, x := range s {
		w.step(x, n, broken)
		if err := c.check(w); err != nil {
			return errors.Wrapf(err, "after step %d, %v", i, x)
		}
	}
	clear(w.blocked)
	clear(w.truncated)
	w.storeDown = false
	w.loseAnswers = 0
	if err := w.hosts["a"].poll(); err != nil {
		return err
	}
	for range convergenceRounds {
		w.runRound()
	}
	if err := c.check(w); err != nil {
		return errors.Wrap(err, "after all faults ended")
	}
	for _, k := range w.hostNames() {
		if v, a := w.hosts[k].version(), w.accepted().Version; v != a {
			return errors.Errorf("%s has version %d after all faults ended, the accepted version is %d", k, v, a)
		}
	}
	return nil
}

// step performs one action of a schedule.
func (w *cluster) step(x action, n []string, broken bool) {
	k := n[x.A%4]
	h := w.hosts[k]
	switch x.Verb {
	case "commit":
		_, _, _ = h.commit(h.version(), func(c *config.Config) { c.Preset = fmt.Sprint(k, len(w.objects)) })
	case "lose":
		w.loseAnswers = 1
	case "poll":
		_ = h.poll()
	case "beat":
		if o := w.hosts[n[x.B%4]]; o != h {
			h.sendHeartbeat(o)
			h.relay.Sync(context.Background())
		}
	case "round":
		w.runRound()
	case "cut":
		w.blocked[[2]string{n[x.A], n[x.B]}] = true
	case "heal":
		clear(w.blocked)
	case "restart":
		w.startHost(k, h.self.Domain, h.self.Region).acceptsAny = broken
	case "store":
		w.storeDown = !w.storeDown
	case "torn":
		w.truncated[n[x.A]] = !w.truncated[n[x.A]]
	}
}

// accepted returns the accepted configuration version on the platform.
func (w *cluster) accepted() (a acceptedversion.Acceptedversion) {
	if r := w.table.Read(acceptedversion.ConfigKey); r.Version > 0 {
		_ = codec.Unmarshal(r.Value, &a)
	}
	return a
}

// checker records the version of each process and the content hash of each version.
type checker struct {
	versions map[*testHost]uint64
	hashes   map[uint64]string
}

func newChecker() *checker {
	return &checker{versions: make(map[*testHost]uint64), hashes: make(map[uint64]string)}
}

func (c *checker) check(w *cluster) error {
	for _, k := range w.hostNames() {
		h := w.hosts[k]
		d := h.configFollower.Replica().CurrentVersion()
		if d.Version < c.versions[h] {
			return errors.Errorf("version of %s decreased from %d to %d", k, c.versions[h], d.Version)
		}
		c.versions[h] = d.Version
		if o, ok := c.hashes[d.Version]; ok && o != d.Hash {
			return errors.Errorf("version %d has two different contents", d.Version)
		}
		c.hashes[d.Version] = d.Hash
		if d.Version > w.accepted().Version {
			return errors.Errorf("%s has version %d, which was never accepted", k, d.Version)
		}
	}
	return nil
}

// adoptContent simulates a faulty host that adopts a peer's configuration even if the
// peer's version is lower than its own.
func (n *testHost) adoptContent(from string, v *wire.Version) {
	_, h, b := n.cluster.hosts[from].configFollower.Content()
	if v.Version == 0 || v.Version == n.version() {
		return
	}
	o := n.cluster.startHost(n.self.Name, n.self.Domain, n.self.Region)
	_ = o.configFollower.Offer(v.Version, h, b)
	n.configFollower = o.configFollower
	n.relay = o.relay
	n.cluster.hosts[n.self.Name] = n
}
