package edge_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/edge"
	"celeryreach.example/celeryreach/feedstandin"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/logbuffer"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/row"
)

const (
	// feedWait is the longest wait of a call of the feed.
	feedWait = 10 * time.Second
	// shifts is how many plays of a script are spread over one wait of a call.
	shifts = 8
	// startSpread is between the starts of two hosts.
	startSpread = 83 * time.Millisecond
	// evacuate is how long an evacuated domain may still get requests.
	evacuate  = 5 * time.Second
	rowKey    = "config"
	evacuated = "evacuated/" // and the failure domain; an empty value takes it back
)

// wall is the time of the bubble in which a test runs.
var wall = clockwork.NewRealClock()

// world is a deployment in one process: the store's tables and the hosts.
type world struct {
	config, backends *feedstandin.Feedstandin
	network          *network
	contact          time.Duration
	hosts            map[string]*edge.Edge
	log              *logbuffer.Logbuffer
	members          []member.Member
	servers          map[string]*server
	seed             uint64 // of the callers
	asked            int    // how many requests callers sent
	quit             func() // ends the callers
}

func (w *world) host(name, domain, region string) *edge.Edge {
	m := member.Member{Name: name, Incarnation: uint64(len(w.members) + 1), Domain: domain, Region: region, CallerAddress: name, PeerAddress: name}
	w.members = append(w.members, m)
	l := log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter})
	return &edge.Edge{
		Self: m, Seeds: []string{w.members[0].PeerAddress}, Clock: wall, Log: l, Peers: w.network.listen(name, region),
		Dial:   func(ctx context.Context, a string) (net.Conn, error) { return w.network.dial(ctx, region, a) },
		Config: w.mirror("Config", w.config, m, l), Backends: w.mirror("Backends", w.backends, m, l),
		Decode:         decode,
		DecodeBackends: decodeBackends,
		Announce:       func(context.Context, member.Member) error { return nil },
		Withdraw:       func(context.Context, member.Member) error { return nil },
		Listed:         func(context.Context) ([]member.Member, error) { return w.members, nil },
		Upstream:       w.upstream(name, region), Limit: limitOf, Gateway: &gateway.Gateway{Load: noReport},
		Contact: w.contact, Evacuate: evacuate, ColdOverage: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetrySlack: 56,
		LimitOverage: limitOverage, LimitSlack: limitSlack, LimitWindow: limitWindow,
	}
}

// mirror follows a table of the store, which stands in the first host's region.
func (w *world) mirror(name string, s *feedstandin.Feedstandin, m member.Member, l *log.Logger) *mirror.Mirror {
	d := time.Duration(0)
	if m.Region != w.members[0].Region {
		d = w.network.way
	}
	f := func(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
		wall.Sleep(d)
		r, v, err := s.Feed(ctx, m.Name, after, wait)
		wall.Sleep(d)
		return r, v, err
	}
	return &mirror.Mirror{
		Clock: wall, Log: l, Name: name, Wait: func() time.Duration { return feedWait }, Feed: f,
		Read: func(ctx context.Context) ([]row.Row, uint64, error) { return f(ctx, 0, 0) },
	}
}

func decode(m map[string]row.Row) (*config.Config, map[string]bool) {
	var c config.Config
	if err := codec.Unmarshal(m[rowKey].Value, &c); err != nil {
		panic(err) // the test wrote it
	}
	z := make(map[string]bool)
	for k, r := range m {
		if d, ok := strings.CutPrefix(k, evacuated); ok && len(r.Value) > 0 {
			z[d] = true
		}
	}
	return &c, z
}

// run plays one line, and returns what is wrong. Serve has those on backend servers.
//
//	configuration VERSION KEY...        the operator writes a version with these keys
//	evacuate DOMAIN, return DOMAIN      the operator takes a failure domain out of use, and back
//	silent [HOST...], answers [HOST...] the store to these hosts, or to all
//	slow DURATION                       each answer of the store takes that long
//	works KEY, fails KEY                at all hosts
//	never TEXT, some TEXT               no host has logged it, one has
//	metric NAME REGEXP                  what the metrics of the process show
func (w *world) run(command string, a []string) (string, error) {
	h := a
	if len(h) == 0 {
		for _, m := range w.members {
			h = append(h, m.Name)
		}
	}
	switch command {
	case "silent", "answers":
		w.config.Mute(command == "silent", h...)
		w.backends.Mute(command == "silent", h...)
	case "slow":
		d, err := time.ParseDuration(a[0])
		w.config.Slow(d)
		w.backends.Slow(d)
		return "", err
	case "configuration":
		return "", w.configure(a)
	case "evacuate":
		w.config.Put(evacuated+a[0], []byte(a[0]))
	case "return":
		w.config.Put(evacuated+a[0], nil)
	case "works", "fails":
		return w.expect(command == "works", a[0]), nil
	case "metric":
		return metric(a[0], a[1]), nil
	case "never":
		return w.logged(strings.Join(a, " ")), nil
	case "some":
		if w.logged(strings.Join(a, " ")) == "" {
			return "no host has logged it", nil
		}
	default:
		return w.serve(command, a)
	}
	return "", nil
}

// configure writes a version that has the keys of one client account.
func (w *world) configure(a []string) error {
	v, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return errors.Wrap(err, "version")
	}
	c := config.Config{Version: v, Accounts: []account.Account{{Name: "unity", Rate: 100, Burst: 100}}}
	withRoutes(&c)
	for _, k := range a[1:] {
		c.Keys = append(c.Keys, credential.Credential{Account: "unity", Hash: credential.Hash(k)})
	}
	b, err := codec.Marshal(c)
	w.config.Put(rowKey, b)
	return err
}

// logged returns the lines that have a text.
func (w *world) logged(text string) string {
	var l []string
	for _, s := range strings.Split(w.log.String(), "\n") {
		if strings.Contains(s, text) {
			l = append(l, s)
		}
	}
	return strings.Join(l, "\n")
}

// expect names the hosts at which a key does not do what it should.
func (w *world) expect(works bool, key string) string {
	var l []string
	for n, e := range w.hosts {
		if (e.Book() != nil && e.Book().Account(key) != nil) != works {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return strings.Join(l, " ")
}

// line is one command of a script.
type line struct {
	at   time.Duration
	text string
	word []string
}

func parse(t *testing.T, script string) []line {
	var l []line
	for _, s := range strings.Split(script, "\n") {
		f := strings.Fields(s)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		d, err := time.ParseDuration(f[0] + "s")
		must.NoError(t, err)
		l = append(l, line{at: d, text: s, word: f[1:]})
	}
	return l
}

// begin plays the lines before time starts, and returns the others. Beside those of run:
//
//	contact DURATION            the bound of the same name
//	way DURATION                one way between regions
//	host NAME DOMAIN REGION     the store stands in the first one's region
func (w *world) begin(t *testing.T, l []line) []line {
	for l[0].at == 0 {
		a := l[0].word
		l = l[1:]
		var err error
		switch a[0] {
		case "contact":
			w.contact, err = time.ParseDuration(a[1])
		case "way":
			w.network.way, err = time.ParseDuration(a[1])
		case "host":
			w.hosts[a[1]] = w.host(a[1], a[2], a[3])
		default:
			_, err = w.run(a[0], a[1:])
		}
		must.NoError(t, err)
	}
	return l
}

// play runs a script, with what follows its start later by shift.
func play(t *testing.T, script string, shift time.Duration, seed uint64) {
	w := &world{
		servers: make(map[string]*server), seed: seed, quit: func() {},
		config: feedstandin.New(wall), backends: feedstandin.New(wall), hosts: make(map[string]*edge.Edge),
		log: new(logbuffer.Logbuffer), network: &network{listeners: make(map[string]*listener)},
	}
	w.backends.Put("c1", nil)
	l := w.begin(t, parse(t, script))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	begun := wall.Now()
	for i, m := range w.members {
		go func() {
			wall.Sleep(time.Duration(i) * startSpread) // heartbeats are not in step
			done <- w.hosts[m.Name].Run(ctx)
		}()
	}
	defer func() { // also after a failure: a bubble lasts as long as its goroutines
		w.endServers()
		stop()
		for range w.hosts {
			test.NoError(t, <-done)
		}
		w.network.close()
	}()
	for _, v := range l {
		wall.Sleep(v.at + shift - wall.Since(begun))
		wrong, err := w.run(v.word[0], v.word[1:])
		must.NoError(t, err)
		must.EqOp(t, "", wrong, must.Sprintf("%s, later by %s, seed %d", v.text, shift, seed))
	}
	must.EqOp(t, "", w.excess(), must.Sprintf("at the end, seed %d", seed))
}

// plays runs a script with all that follows its start later by parts of one wait of a
// call.
func plays(t *testing.T, name string) {
	bubbles(t, name, shifts, func(t *testing.T, script string, i int) { play(t, script, time.Duration(i)*feedWait/shifts, 0) })
}

// playsLoads runs a script with different callers.
func playsLoads(t *testing.T, name string) {
	bubbles(t, name, limitSeeds, func(t *testing.T, script string, i int) { play(t, script, 0, uint64(i)) })
}

// bubbles plays a script n times, each in virtual time of its own.
func bubbles(t *testing.T, name string, n int, play func(t *testing.T, script string, i int)) {
	// The race detector crashes when timers of a bubble fire on several processors.
	c := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(c) })
	b, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	must.NoError(t, err)
	for i := range n {
		synctest.Test(t, func(t *testing.T) { play(t, string(b), i) })
	}
}

// A host that waits for an answer which the store will never give goes on refusing
// good keys after the store is back.
func TestKeysGivenAfterASilence(t *testing.T) { plays(t, "given-after-silence") }

// A host that the store turns away goes on serving a withdrawn key.
func TestKeyWithdrawnInASilence(t *testing.T) { plays(t, "withdrawn-in-silence") }

// Hosts of distant regions tell each other of the store's last answer until it seems
// young for ever, so that none doubts its lost calls.
func TestChangeBeforeAShortSilence(t *testing.T) { plays(t, "change-before-silence") }

// A store that answers is asked again by all hosts after each change, since the answers
// of the watchers come further apart than hosts trust them for.
func TestNoDoubtOfAStoreThatAnswers(t *testing.T) { plays(t, "changes") }

// Hosts whose calls end before a slow store answers never hear of a change, and one
// that starts has no configuration, although the store answers every call.
func TestASlowStoreIsHeard(t *testing.T) { plays(t, "slow") }
