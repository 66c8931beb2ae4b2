package separation_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/wire"
)

// healRounds is how many rounds of heartbeats after healing, and after one read
// of the platform by any host, all hosts have the same version: one second in
// which a peer that failed is left alone, and two rounds.
const healRounds = 7

var verbs = []string{"commit", "commit", "lose", "poll", "beat", "round", "cut", "heal", "restart", "store", "torn"}

// action is one step of a schedule.
type action struct {
	Verb string
	A, B int
}

func schedules() *rapid.Generator[[]action] {
	a := rapid.Custom(func(t *rapid.T) action {
		return action{
			Verb: rapid.SampledFrom(verbs).Draw(t, "verb"),
			A:    rapid.IntRange(0, 4).Draw(t, "a"), B: rapid.IntRange(0, 4).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(a, 1, 60)
}

// What callers see: a key that was withdrawn, or a rate that was lowered, works
// again on one host. In any order of commits whose answers may be lost, reads,
// relays, restarts, one-way cuts, torn contents and outages of the store, no
// process's version may fall, one version may have only one content, and after
// healing all hosts must have the newest version within healRounds.
func TestVersionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		must.NoError(t, play(schedules().Draw(t, "schedule"), false))
	})
}

// A host that takes over whatever it hears last, as a host without the
// comparison of versions would, is caught by the same check.
func TestVersionFallIsCaught(t *testing.T) {
	for i := range 200 {
		if play(schedules().Example(i), true) != nil {
			return
		}
	}
	t.Fatal("no schedule caught the broken variant")
}

// play runs a schedule and returns the first broken promise.
func play(s []action, broken bool) error {
	w := newWorld()
	n := []string{"a", "b", "c", "d", platformName}
	for i, k := range n[:4] {
		w.start(k, fmt.Sprintf("domain-%d", i/2), "lagos").keeps = broken
	}
	c := newChecker()
	for i, x := range s {
		w.step(x, n, broken)
		if err := c.check(w); err != nil {
			return errors.Wrapf(err, "after step %d, %v", i, x)
		}
	}
	clear(w.cuts)
	clear(w.torn)
	w.down = false
	w.lose = 0
	if err := w.hosts["a"].poll(); err != nil {
		return err
	}
	for range healRounds {
		w.round()
	}
	if err := c.check(w); err != nil {
		return errors.Wrap(err, "after healing")
	}
	for _, k := range w.names() {
		if v, a := w.hosts[k].version(), w.accepted().Version; v != a {
			return errors.Errorf("%s has version %d after healing, accepted is %d", k, v, a)
		}
	}
	return nil
}

func (w *world) step(x action, n []string, broken bool) {
	k := n[x.A%4]
	h := w.hosts[k]
	switch x.Verb {
	case "commit":
		_, _, _ = h.commit(h.version(), func(c *config.Config) { c.Preset = fmt.Sprint(k, len(w.objects)) })
	case "lose":
		w.lose = 1
	case "poll":
		_ = h.poll()
	case "beat":
		if o := w.hosts[n[x.B%4]]; o != h {
			h.beat(o)
			h.relay.Pass(context.Background())
		}
	case "round":
		w.round()
	case "cut":
		w.cuts[[2]string{n[x.A], n[x.B]}] = true
	case "heal":
		clear(w.cuts)
	case "restart":
		w.start(k, h.self.Domain, h.self.Region).keeps = broken
	case "store":
		w.down = !w.down
	case "torn":
		w.torn[n[x.A]] = !w.torn[n[x.A]]
	}
}

func (w *world) accepted() (a accepted.Accepted) {
	if r := w.table.Read(accepted.RowKey); r.Version > 0 {
		_ = codec.Unmarshal(r.Value, &a)
	}
	return a
}

// checker remembers what each process had and what each version was.
type checker struct {
	had    map[*node]uint64
	hashes map[uint64]string
}

func newChecker() *checker {
	return &checker{had: make(map[*node]uint64), hashes: make(map[uint64]string)}
}

func (c *checker) check(w *world) error {
	for _, k := range w.names() {
		h := w.hosts[k]
		d := h.follower.Replica().Digest()
		if d.Version < c.had[h] {
			return errors.Errorf("%s fell from version %d to %d", k, c.had[h], d.Version)
		}
		c.had[h] = d.Version
		if o, ok := c.hashes[d.Version]; ok && o != d.Hash {
			return errors.Errorf("version %d has two contents", d.Version)
		}
		c.hashes[d.Version] = d.Hash
		if d.Version > w.accepted().Version {
			return errors.Errorf("%s has version %d, which was never accepted", k, d.Version)
		}
	}
	return nil
}

// overwrite is the broken variant: it takes what a peer has, higher or lower.
func (n *node) overwrite(from string, v *wire.Version) {
	_, h, b := n.world.hosts[from].follower.Content()
	if v.Version == 0 || v.Version == n.version() {
		return
	}
	o := n.world.start(n.self.Name, n.self.Domain, n.self.Region)
	_ = o.follower.Offer(v.Version, h, b)
	n.follower = o.follower
	n.relay = o.relay
	n.world.hosts[n.self.Name] = n
}
