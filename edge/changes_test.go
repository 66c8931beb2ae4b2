package edge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"celeryreach.example/celeryreach/member"
)

const (
	// changesSeeds and largeFleetSeeds are played unless SEEDS says how many.
	changesSeeds    = 3
	largeFleetSeeds = 1
	changesTick     = 20 * time.Millisecond
	// changesEvent and changesPause are the mean times between two events, and between two
	// changes besides those that follow an event.
	changesEvent = 2 * time.Second
	changesPause = 3 * time.Second
	// changesSoon is how soon a change follows the begin or the end of an event.
	changesSoon = 600 * time.Millisecond
)

// changes are the versions that the operator wrote, in order.
type changes struct {
	written []written
}

// written is a version that the store has acknowledged.
type written struct {
	version uint64
	at      time.Time
}

// runChangeCommand runs one command for changes of the configuration, and passes others to
// runShareCommand:
//
//	dark HOST...                  these hosts lose power; other hosts do not notice
//	change                        the operator writes the next version
//	current [HOST...]             checks that these hosts, or all that run, have the last version
//	changes DURATION BOUND SLOW   versions are written at random, while the store answers some hosts and not others,
//	                              is slow or forgets, and hosts and regions are cut off and lose power; checks that
//	                              each host that has a way to the store, through others or not, has each version
//	                              within BOUND; the store takes up to SLOW
func (w *deployment) runChangeCommand(command string, a []string) (string, error) {
	switch command {
	case "dark":
		for _, h := range a {
			w.losePower(h)
		}
	case "change":
		return "", w.writeChange()
	case "current":
		return w.outdated(a), nil
	case "changes":
		var d [3]time.Duration
		for i := range d {
			v, err := time.ParseDuration(a[i])
			if err != nil {
				return "", err
			}
			d[i] = v
		}
		return w.playChanges(d[0], d[1], d[2]), nil
	default:
		return w.runShareCommand(command, a)
	}
	return "", nil
}

// writeChange writes the next version of the configuration.
func (w *deployment) writeChange() error {
	c := &w.changes
	v := uint64(2)
	if n := len(c.written); n > 0 {
		v = c.written[n-1].version + 1
	}
	c.written = append(c.written, written{version: v, at: clock.Now()})
	return w.writeConfig([]string{strconv.FormatUint(v, 10), "key"})
}

// outdated describes the hosts that run and lack the last version.
func (w *deployment) outdated(hosts []string) string {
	var l []string
	v := w.changes.written[len(w.changes.written)-1].version
	for _, p := range w.running(hosts...) {
		if i := p.edge.Index(); i == nil || i.Config.Version < v {
			l = append(l, p.edge.Self.Name)
		}
	}
	if len(l) == 0 {
		return ""
	}
	slices.Sort(l)
	return fmt.Sprint(l, " lack version ", v)
}

// losePower ends the process of a host. Other hosts get no answers from it.
func (w *deployment) losePower(host string) {
	w.network.setDark(host, true)
	p := w.process(host)
	p.mu.Lock()
	p.killed, p.running = true, false
	p.mu.Unlock()
	p.stop()
}

// changesPlay is a drawn play.
type changesPlay struct {
	*deployment
	rand  *rand.Rand
	bound time.Duration
	slow  time.Duration
	later []laterEvent
	cut   bool
	dark  map[string]bool
	// mutes, refusals and troubles count, by host, for what the store answers no calls, refuses
	// them, and does not answer as it should.
	mutes, refusals, troubles events
	answered                  map[string]time.Time // since when the store answers a host, zero if it doesn't
	joined                    map[string]time.Time // since when a host reaches those that it reaches
	started                   map[string]time.Time // since when a host runs, zero if it doesn't
}

// events counts events that have begun and not ended, by host.
type events map[string]int

func (e events) set(host string, begin bool) {
	if begin {
		e[host]++
	} else {
		e[host]--
	}
}

// playChanges plays events at random until all that was begun has ended, and describes the first
// host that lacked a version for too long.
func (w *deployment) playChanges(d, bound, slow time.Duration) string {
	p := &changesPlay{
		deployment: w, rand: rand.New(rand.NewPCG(w.seed, 7)), bound: bound, slow: slow, dark: make(map[string]bool),
		mutes: make(events), refusals: make(events), troubles: make(events),
		answered: make(map[string]time.Time), joined: make(map[string]time.Time), started: make(map[string]time.Time),
	}
	n := clock.Now()
	for _, m := range w.members {
		p.answered[m.Name], p.joined[m.Name], p.started[m.Name] = n, n, n
	}
	event, change := n, n
	for clock.Since(n) < d || len(p.later) > 0 {
		clock.Sleep(changesTick)
		due := p.later
		p.later = nil
		for _, v := range due {
			if v.at.After(clock.Now()) {
				p.later = append(p.later, v)
			} else {
				v.do()
			}
		}
		if clock.Since(n) < d && !event.After(clock.Now()) {
			event = clock.Now().Add(p.about(changesEvent))
			p.draw()
		}
		if clock.Since(n) < d && !change.After(clock.Now()) {
			change = clock.Now().Add(p.about(changesPause))
			p.change()
		}
		if e := p.late(); e != "" {
			return e
		}
	}
	clock.Sleep(w.contact)
	return w.outdated(nil)
}

func (p *changesPlay) about(d time.Duration) time.Duration {
	return time.Duration(p.rand.ExpFloat64() * float64(d))
}

func (p *changesPlay) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.rand.Int64N(int64(b-a)))
}

// after plays f after a drawn time.
func (p *changesPlay) after(a, b time.Duration, f func()) {
	p.later = append(p.later, laterEvent{at: clock.Now().Add(p.between(a, b)), do: f})
}

func (p *changesPlay) change() {
	if err := p.writeChange(); err != nil {
		panic(err) // the configuration is plain data
	}
}

// changeSoon plays a change soon, in most cases.
func (p *changesPlay) changeSoon() {
	if p.rand.IntN(4) > 0 {
		p.after(0, changesSoon, p.change)
	}
}

// some returns a drawn share of the hosts, at least one.
func (p *changesPlay) some(most float64) []string {
	l := p.hostsOf(func(member.Member) bool { return true })
	p.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:1+p.rand.IntN(max(int(most*float64(len(l))), 1))]
}

// draw begins an event.
func (p *changesPlay) draw() {
	defer p.changeSoon()
	switch k := p.rand.IntN(12); {
	case k < 4:
		p.turnAway(p.some(1), false)
	case k == 4:
		p.turnAway(p.some(1), true)
	case k < 7:
		p.loseAnswers(p.some(1))
	case k == 7:
		p.beSlow()
	case k < 10:
		p.loseHosts(p.some(0.4))
	case k == 10 && !p.cut:
		p.cutRegion()
	default:
		p.reportEvent("history dropped")
		p.config.DropHistory()
		p.backends.DropHistory()
	}
}

// turnAway lets the store refuse the calls of hosts, or not answer them, for a time.
func (p *changesPlay) turnAway(hosts []string, refuse bool) {
	p.reportEvent("turned away ", hosts, " refused ", refuse)
	f := func(begin bool) {
		for _, h := range hosts {
			p.setTrouble(h, begin)
			if refuse {
				p.refusals.set(h, begin)
				p.config.SetRefused(p.refusals[h] > 0, h)
				p.backends.SetRefused(p.refusals[h] > 0, h)
			} else {
				p.mute(h, begin)
			}
		}
	}
	f(true)
	p.after(200*time.Millisecond, 9*time.Second, func() {
		p.reportEvent("admitted ", hosts)
		f(false)
		p.changeSoon()
	})
}

// mute lets the store begin or end not to answer a host.
func (p *changesPlay) mute(host string, begin bool) {
	p.mutes.set(host, begin)
	p.muteStore(p.mutes[host] > 0, []string{host})
}

// setTrouble records that the store begins or ends not to answer a host.
func (p *changesPlay) setTrouble(host string, begin bool) {
	p.troubles.set(host, begin)
	p.answered[host] = time.Time{}
	if p.troubles[host] == 0 {
		p.answered[host] = clock.Now()
	}
}

func (p *changesPlay) loseAnswers(hosts []string) {
	p.reportEvent("answers lost ", hosts)
	for _, h := range hosts {
		p.mute(h, true)
		p.mute(h, false)
		p.setTrouble(h, true)
		p.setTrouble(h, false)
	}
}

func (p *changesPlay) beSlow() {
	d := p.between(0, p.slow)
	p.reportEvent("slow ", d)
	f := func(begin bool, d time.Duration) {
		p.config.SetDelay(d)
		p.backends.SetDelay(d)
		for _, m := range p.members {
			p.setTrouble(m.Name, begin)
		}
	}
	f(true, d)
	p.after(time.Second, 6*time.Second, func() {
		f(false, 0)
		p.changeSoon()
	})
}

// loseHosts takes the power of hosts away for a time.
func (p *changesPlay) loseHosts(hosts []string) {
	for _, h := range hosts {
		if p.dark[h] {
			continue
		}
		p.reportEvent("no power ", h)
		p.dark[h] = true
		p.started[h] = time.Time{}
		p.losePower(h)
		p.after(time.Second, 6*time.Second, func() {
			p.reportEvent("started ", h)
			p.dark[h] = false
			p.network.setDark(h, false)
			p.restart(h)
			p.started[h] = clock.Now()
		})
	}
	p.after(time.Second, 6*time.Second, p.changeSoon)
}

// cutRegion cuts off a region from the others for a time, and maybe from the store.
func (p *changesPlay) cutRegion() {
	m := p.members[p.rand.IntN(len(p.members))]
	l := p.hostsOf(func(v member.Member) bool { return v.Region == m.Region })
	store := p.rand.IntN(2) == 0
	p.reportEvent("cut off ", l, " store ", store)
	p.cut = true
	f := func(begin bool, side string) {
		p.network.setSide(side, l...)
		for _, v := range p.members {
			p.joined[v.Name] = clock.Now()
		}
		for _, h := range l {
			if store {
				p.setTrouble(h, begin)
				p.mute(h, begin)
			}
		}
	}
	f(true, m.Region)
	p.after(time.Second, 8*time.Second, func() {
		p.reportEvent("joined ", l)
		p.cut = false
		f(false, "")
		p.changeSoon()
	})
}

// inTouch reports whether a host ran, and reached those that it reaches, for the whole
// RecoveryTime.
func (p *changesPlay) inTouch(host string) bool {
	t := clock.Now().Add(-p.contact)
	s := p.started[host]
	return !s.IsZero() && !s.After(t) && !p.joined[host].After(t)
}

// hears reports whether the store answered a host in touch for the whole RecoveryTime.
func (p *changesPlay) hears(host string) bool {
	a := p.answered[host]
	return p.inTouch(host) && !a.IsZero() && clock.Since(a) >= p.contact
}

// late describes the first host that lacks a version which it should have.
func (p *changesPlay) late() string {
	i := len(p.changes.written) - 1
	for i >= 0 && clock.Since(p.changes.written[i].at) <= p.bound {
		i--
	}
	if i < 0 {
		return ""
	}
	v := p.changes.written[i]
	for _, m := range p.members {
		if !p.inTouch(m.Name) {
			continue
		}
		x := p.process(m.Name).edge.Index()
		if x != nil && x.Config.Version >= v.version {
			continue
		}
		for _, h := range p.members {
			if p.hears(h.Name) && p.network.isJoined(m.Name, h.Name) {
				return fmt.Sprintf("%s lacks version %d %s after its ack, at %s; the store answers %s", m.Name, v.version, clock.Since(v.at), clock.Now().Format("05.00"), h.Name)
			}
		}
	}
	return ""
}

// Guards against hosts that lack a change for too long which the store told one host only.
func TestChangeHeardByOneHost(t *testing.T) { runShifted(t, "change-heard-by-one") }

// Guards against hosts that go on with an old configuration while the store answers others, each
// stage on the way to them being paced by a clock of its own.
func TestChangesReachAllHosts(t *testing.T) { testChanges(t, "changes-drawn", changesSeeds) }

// Guards against the same in a fleet in which most hosts exchange no heartbeats with each other.
func TestChangesReachLargeFleet(t *testing.T) { testChanges(t, "changes-large-fleet", largeFleetSeeds) }

func testChanges(t *testing.T, name string, count int) {
	for i := range seeds(t, count) {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			runInBubbles(t, name, 1, func(t *testing.T, script string, _ int) { runScript(t, script, 0, uint64(i)) })
		})
	}
}
