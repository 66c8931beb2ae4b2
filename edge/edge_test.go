package edge_test

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
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
	// feedWait is the longest wait of one feed call.
	feedWait = 10 * time.Second
	// shiftCount is how many runs of a script are spread over one feed call.
	shiftCount = 8
	// startInterval is the time between the starts of two hosts.
	startInterval = 83 * time.Millisecond
	// evacuate is how long an evacuated failure domain may still receive requests.
	evacuate    = 5 * time.Second
	accountRate = 100
	rowKey      = "config"
	evacuated   = "evacuated/" // followed by the failure domain; an empty value ends the evacuation
)

// clock is the real clock, which returns virtual time inside a synctest bubble.
var clock = clockwork.NewRealClock()

// deployment is a deployment in one process: the store's tables and the hosts.
type deployment struct {
	config, backends *feedstandin.Feedstandin
	network          *memoryNetwork
	contact          time.Duration
	hosts            map[string]*edge.Edge
	processes        map[string]*process // the last one of each host
	started          int                 // processes
	ended            chan error          // receives what each process of a host returned
	list             map[string]member.Member
	silent           map[string]bool // hosts that can't read or change the list
	log              *logbuffer.Logbuffer
	report           func(text string) // writes to the test's output
	members          []member.Member
	starts           map[string]time.Duration // when hosts start, zero for most
	servers          map[string]*server
	seed             uint64   // of the callers' random numbers
	requestCount     int      // requests sent by callers
	stopCallers      func()   // stops the callers
	kinds            []string // of the callers' requests; empty for idempotent ones only
	runs             runs
	attempts         attempts
	homes            *homes // nil unless the homes of requests are checked
	endings          endings
	repeats          repeats
	shutdowns        shutdowns
	removals         removals
	changes          changes
	endingCount      int // requests with endingPart sent by callers

	mu       sync.Mutex
	calls    []call
	rand     *rand.Rand
	refusals []refusal // since the last check
}

// addHost adds a host, which is on the store's list.
func (w *deployment) addHost(name, domain, region string) {
	m := member.Member{Name: name, Domain: domain, Region: region, CallerAddress: name, PeerAddress: name}
	w.members = append(w.members, m)
	w.list[name] = m
	w.hosts[name] = w.newEdge(m)
}

// newEdge returns a new process of a host.
func (w *deployment) newEdge(m member.Member) *edge.Edge {
	w.started++
	m.Incarnation = uint64(w.started)
	l := log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter})
	return &edge.Edge{
		Self: m, Seeds: []string{w.members[0].PeerAddress}, Clock: clock, Log: l, Peers: w.network.listen(m.Name, m.Region),
		Dial:   func(ctx context.Context, a string) (net.Conn, error) { return w.dial(ctx, m, a) },
		Config: w.mirror("Config", w.config, m, l), Backends: w.mirror("Backends", w.backends, m, l),
		Decode:         decode,
		DecodeBackends: decodeBackends,
		Announce:       w.announce,
		Withdraw:       w.withdraw,
		ReadHosts:      func(ctx context.Context) ([]member.Member, error) { return w.readHosts(ctx, m) },
		Upstream:       w.upstream(m.Name, m.Region), LimitValues: limitValues, SaysLeaving: saysLeaving, BackoffValues: backoffValues,
		Gateway: &gateway.Gateway{ReportedLoad: noReport}, Random: w.random,
		RecoveryTime: w.contact, ExpiryTime: entryLapse - entryInterval, LapseTime: entryLapse, EvacuationTime: evacuate, ColdOverage: 1.5, ColdSlack: 5, RetryRatio: retryRatio, RetrySlack: retrySlack,
		LimitOverage: limitOverage, LimitSlack: limitSlack, LimitWindow: limitWindow, StopTime: shutdownTime,
	}
}

// random returns a random number in [0, 1).
func (w *deployment) random() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64()
}

// mirror returns a copy of a table of the store. The store is located in the first
// host's region.
func (w *deployment) mirror(name string, s *feedstandin.Feedstandin, m member.Member, l *log.Logger) *mirror.Mirror {
	d := time.Duration(0)
	if m.Region != w.members[0].Region {
		d = w.network.latency
	}
	f := func(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
		clock.Sleep(d)
		r, v, err := s.Feed(ctx, m.Name, after, wait)
		clock.Sleep(d)
		if errors.Is(err, feedstandin.ErrHistoryLost) {
			err = mirror.ErrHistoryLost
		}
		return r, v, err
	}
	return &mirror.Mirror{
		Clock: clock, Log: l, Name: name, LongPollTimeout: func() time.Duration { return feedWait }, ReadChanges: f,
		Read: func(ctx context.Context) ([]row.Row, uint64, error) { return f(ctx, 0, 0) },
	}
}

func decode(m map[string]row.Row) (*config.Config, map[string]bool) {
	var c config.Config
	if err := codec.Unmarshal(m[rowKey].Value, &c); err != nil {
		panic(err) // written by the test itself
	}
	z := make(map[string]bool)
	for k, r := range m {
		if d, ok := strings.CutPrefix(k, evacuated); ok && len(r.Value) > 0 {
			z[d] = true
		}
	}
	return &c, z
}

// runCommand runs one command of a script and returns a description of the failure,
// empty if there is none. runBackendCommand has the commands for backend servers.
//
//	configuration VERSION KEY...        the operator writes a version with these keys
//	evacuate DOMAIN, return DOMAIN      the operator starts or ends the evacuation of a failure domain
//	silent [HOST...], answers [HOST...] the store stops or resumes responding to these hosts, or to all
//	slow DURATION                       each response of the store takes that long
//	cut HOST, join HOST                 the host loses its connections to the other hosts, or may have them again
//	works KEY, fails KEY                checks the key at all hosts
//	never TEXT, some TEXT               checks that no host, or at least one, has logged the text
//	metric NAME REGEXP                  checks a metric of the process
//	homes ...                           see runHomesCommand
//
// runShutdownCommand, runHostCommand, runRemovalCommand, runChangeCommand and runShareCommand have those for the processes of hosts.
func (w *deployment) runCommand(command string, a []string) (string, error) {
	h := a
	if len(h) == 0 {
		for _, m := range w.members {
			h = append(h, m.Name)
		}
	}
	switch command {
	case "silent", "answers":
		w.config.SetMuted(command == "silent", h...)
		w.backends.SetMuted(command == "silent", h...)
		w.setSilent(command == "silent", h)
	case "slow":
		d, err := time.ParseDuration(a[0])
		w.config.SetDelay(d)
		w.backends.SetDelay(d)
		return "", err
	case "cut", "join":
		w.cutOff(a[0], command == "cut")
	case "configuration":
		return "", w.writeConfig(a)
	case "evacuate":
		w.config.Put(evacuated+a[0], []byte(a[0]))
	case "return":
		w.config.Put(evacuated+a[0], nil)
	case "works", "fails":
		return w.hostsWithWrongKey(command == "works", a[0]), nil
	case "homes":
		return w.runHomesCommand(a)
	case "metric":
		return checkMetric(a[0], a[1]), nil
	case "never":
		return w.logged(strings.Join(a, " ")), nil
	case "some":
		if w.logged(strings.Join(a, " ")) == "" {
			return "no host has logged it", nil
		}
	default:
		return w.runShutdownCommand(command, a)
	}
	return "", nil
}

// writeConfig writes a configuration version with the keys of one client account.
func (w *deployment) writeConfig(a []string) error {
	v, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return errors.Wrap(err, "version")
	}
	c := config.Config{Version: v, Accounts: []account.Account{{Name: "unity", Rate: accountRate, Burst: accountRate}}}
	addRoutes(&c)
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		if len(c.Routes[i].Homes) > 0 {
			c.Routes[i].Homes = []string{w.runs.home()}
		}
	}
	for _, k := range a[1:] {
		c.Keys = append(c.Keys, credential.Credential{Account: "unity", Hash: credential.Hash(k)})
	}
	b, err := codec.Marshal(c)
	w.config.Put(rowKey, b)
	return err
}

// logged returns the log lines that contain a text.
func (w *deployment) logged(text string) string {
	var l []string
	for _, s := range strings.Split(w.log.String(), "\n") {
		if strings.Contains(s, text) {
			l = append(l, s)
		}
	}
	return strings.Join(l, "\n")
}

// hostsWithWrongKey returns the names of the hosts at which a key works but should not,
// or the reverse.
func (w *deployment) hostsWithWrongKey(works bool, key string) string {
	var l []string
	for n, e := range w.hosts {
		if (e.Index() != nil && e.Index().Account(key) != nil) != works {
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

// setUp runs the commands at time zero, before the hosts start, and returns the
// remaining ones. The setup has these commands in addition to those of
// runCommand:
//
//	contact DURATION            the RecoveryTime of the hosts; see edge.Edge
//	way DURATION                one-way latency between regions
//	near DURATION               one-way latency within a region
//	hang                        what hosts send to others that are cut off gets no answer
//	host NAME DOMAIN REGION     a host; the store is located in the first one's region
func (w *deployment) setUp(t *testing.T, l []line) []line {
	for l[0].at == 0 {
		a := l[0].word
		l = l[1:]
		var err error
		switch a[0] {
		case "contact":
			w.contact, err = time.ParseDuration(a[1])
		case "near":
			w.network.near, err = time.ParseDuration(a[1])
		case "way":
			w.network.latency, err = time.ParseDuration(a[1])
		case "hang":
			w.network.hangs = true
		case "host": // NAME DOMAIN REGION [START], after the others
			w.addHost(a[1], a[2], a[3])
			if len(a) > 4 {
				w.starts[a[1]], err = time.ParseDuration(a[4])
			}
		default:
			_, err = w.runCommand(a[0], a[1:])
		}
		must.NoError(t, err)
	}
	return l
}

// runScript runs a script. Every command after the setup is delayed by shift.
func runScript(t *testing.T, script string, shift time.Duration, seed uint64) {
	w := &deployment{
		servers: make(map[string]*server), starts: make(map[string]time.Duration), seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), stopCallers: func() {},
		config: feedstandin.New(clock), backends: feedstandin.New(clock), hosts: make(map[string]*edge.Edge),
		processes: make(map[string]*process), ended: make(chan error), list: make(map[string]member.Member), silent: make(map[string]bool),
		log: new(logbuffer.Logbuffer), network: &memoryNetwork{listeners: make(map[string]*listener)},
	}
	w.backends.Put("c1", nil)
	w.report = func(s string) { t.Log(s) }
	l := w.setUp(t, parse(t, script))
	begun := clock.Now()
	for i, m := range w.members {
		w.startProcess(m.Name, w.starts[m.Name]+time.Duration(i)*startInterval) // so that hosts do not send heartbeats at the same time
	}
	defer func() { // also after a failure, because a bubble ends only with its last goroutine
		w.stopServers()
		for _, p := range w.processes {
			p.terminate()
		}
		for range w.started {
			test.NoError(t, <-w.ended)
		}
		w.network.close()
	}()
	for _, v := range l {
		clock.Sleep(v.at + shift - clock.Since(begun))
		wrong, err := w.runCommand(v.word[0], v.word[1:])
		must.NoError(t, err)
		must.EqOp(t, "", wrong, must.Sprintf("%s, later by %s, seed %d", v.text, shift, seed))
	}
	must.EqOp(t, "", w.excess(), must.Sprintf("at the end, seed %d", seed))
}

// runShifted runs a script several times, with the commands after the setup delayed by
// different fractions of one feed call.
func runShifted(t *testing.T, name string) {
	runInBubbles(t, name, shiftCount, func(t *testing.T, script string, i int) {
		runScript(t, script, time.Duration(i)*feedWait/shiftCount, 0)
	})
}

// runSeeded runs a script several times, with different random callers.
func runSeeded(t *testing.T, name string) {
	runInBubbles(t, name, seedCount, func(t *testing.T, script string, i int) { runScript(t, script, 0, uint64(i)) })
}

// runInBubbles runs a script n times, each in a synctest bubble with its own virtual
// time.
func runInBubbles(t *testing.T, name string, n int, play func(t *testing.T, script string, i int)) {
	// The race detector crashes when timers of a bubble fire on several processors.
	c := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(c) })
	b, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	must.NoError(t, err)
	for i := range n {
		synctest.Test(t, func(t *testing.T) { play(t, string(b), i) })
	}
}

// Guards against a host that waits for a response the store will never send and
// therefore keeps rejecting valid keys after the store has recovered.
func TestKeysAddedAfterStoreOutage(t *testing.T) { runShifted(t, "given-after-silence") }

// Guards against a host that gets no responses from the store and keeps accepting a
// revoked key.
func TestKeyRevokedDuringStoreOutage(t *testing.T) { runShifted(t, "withdrawn-in-silence") }

// Guards against hosts of distant regions that report the age of the store's last
// response to each other in such a way that this age never grows. No host would then
// detect that its calls were lost.
func TestChangeBeforeShortStoreOutage(t *testing.T) { runShifted(t, "change-before-silence") }

// Guards against all hosts calling a working store again after each change. This
// happens if the watchers' responses are further apart than the time for which hosts
// trust them.
func TestNoExtraRequestsWhileStoreResponds(t *testing.T) { runShifted(t, "changes") }

// Guards against call timeouts shorter than the response time of a slow store: hosts
// would never receive a change, and a starting host would have no configuration,
// although the store responds to every call.
func TestSlowStore(t *testing.T) { runShifted(t, "slow") }
