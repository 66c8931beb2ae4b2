// Package processes_test tests failures that need separate processes: SIGKILL
// and SIGSTOP in the middle of work. All components run as the commands that
// operators use.
package processes_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // only tests start processes
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/reservation"
)

const (
	testTimeout = 90 * time.Second // limit of a test, reached only if it hangs
	rate        = 100
	burst       = 200
	hold        = time.Second
)

var clock = clockwork.NewRealClock()

// deployment is a platform stand-in, and a host and a backend server in each of
// three failure domains, all as separate processes.
type deployment struct {
	t           *testing.T
	ctx         context.Context
	dir         string
	binary      string
	platformURL string
	operatorKey string
	callerKey   string
	backends    map[string]string
	standins    map[string]*exec.Cmd // backend servers by name
	hosts       map[string]*host
}

type host struct {
	command         *exec.Cmd
	log             io.ReadCloser
	settingsFile    string
	callerAddress   string
	operatorAddress string
}

var domains = [][2]string{{"l1", "lagos"}, {"l2", "lagos"}, {"a1", "abuja"}}

func deploy(t *testing.T) *deployment {
	x, f := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(f)
	d := &deployment{t: t, ctx: x, dir: t.TempDir(), backends: make(map[string]string), standins: make(map[string]*exec.Cmd), hosts: make(map[string]*host)}
	d.binary = filepath.Join(d.dir, "celeryreach")
	o, err := exec.CommandContext(x, "go", "build", "-o", d.binary, "..").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(o)))
	a, _ := d.startStandin("platform", "--listen", "127.0.0.1:0")
	d.platformURL = "http://" + a
	for _, v := range domains {
		d.backends[v[0]], d.standins[v[0]] = d.startStandin("backend", "--listen", "127.0.0.1:0", "--name", v[0], "--work", "2ms")
	}
	o = d.runCommand("config", "init", "--platform", d.platformURL, d.writeFile("config.hujson", d.configText()))
	d.operatorKey = regexp.MustCompile(`[A-Z2-7]{26}`).FindString(string(o))
	must.NotEq(t, "", d.operatorKey, must.Sprint(string(o)))
	for _, v := range domains {
		d.addHost(v[0], v[1])
	}
	d.await("hosts", func() bool { return d.statusCode("l1") == http.StatusOK })
	o = d.runCommand("key", "issue", "--operator", "http://"+d.hosts["l1"].operatorAddress, "--wait", "river")
	d.callerKey = regexp.MustCompile(`[A-Z2-7]{26}`).FindString(string(o))
	for h := range d.hosts {
		d.await("answers from "+h, func() bool { c, _ := d.send(h, http.MethodGet, "/listings/1", ""); return c == http.StatusOK })
	}
	return d
}

func (d *deployment) configText() string {
	var b strings.Builder
	for _, v := range domains {
		fmt.Fprintf(&b, `{"Name": %q, "Domain": %q, "Service": "Listings", "Address": %q, "Slots": 4, "Connections": 100},`, v[0], v[0], d.backends[v[0]])
	}
	return fmt.Sprintf(`{
		"Preset": "Ordinary",
		"Presets": [{"Name": "Ordinary", "ShiftCap": 0.1, "ShiftInterval": "60s", "Headroom": 0.1, "GrowthCap": 1, "FloorFraction": 0.1, "MaxWait": "500ms", "LookupTTL": "1s", "RetryBudget": 0.1}],
		"Regions": [{"Name": "lagos"}, {"Name": "abuja"}],
		"Domains": [{"Name": "l1", "Region": "lagos"}, {"Name": "l2", "Region": "lagos"}, {"Name": "a1", "Region": "abuja"}],
		"Services": [{"Name": "Listings", "Prefix": "/listings/", "Timeout": "3s"}],
		"Backends": [%s],
		"Accounts": [{"Name": "river", "Rate": %d, "Burst": %d}],
		"KeyStaleness": {"Idempotent": "10m", "NonIdempotent": "1m"},
	}`, b.String(), rate, burst)
}

// addHost reserves addresses for a host and starts it.
func (d *deployment) addHost(name, region string) {
	h := &host{callerAddress: d.reserveAddress(), operatorAddress: d.reserveAddress()}
	h.settingsFile = d.writeFile(name+".hujson", fmt.Sprintf(
		`{"Name": %q, "Domain": %q, "Region": %q, "CallerAddress": %q, "PeerAddress": %q, "OperatorAddress": %q, "PlatformURL": %q, "Hold": %q, "Heartbeat": "100ms"}`,
		name, name, region, h.callerAddress, d.reserveAddress(), h.operatorAddress, d.platformURL, hold))
	d.hosts[name] = h
	d.startHost(name)
}

func (d *deployment) startHost(name string) {
	h := d.hosts[name]
	h.command = exec.CommandContext(d.ctx, d.binary, "serve", "--settings", h.settingsFile)
	l, err := h.command.StderrPipe()
	must.NoError(d.t, err)
	h.log = l
	must.NoError(d.t, h.command.Start())
	go func() { _, _ = io.Copy(io.Discard, l) }()
	c := h.command
	d.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
}

func (d *deployment) signal(name string, s syscall.Signal) {
	must.NoError(d.t, d.hosts[name].command.Process.Signal(s))
}

// startStandin starts a stand-in and returns the address from its first log line, and its
// process.
func (d *deployment) startStandin(args ...string) (string, *exec.Cmd) {
	c := exec.CommandContext(d.ctx, d.binary, args...)
	e, err := c.StderrPipe()
	must.NoError(d.t, err)
	must.NoError(d.t, c.Start())
	d.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	s := bufio.NewScanner(e)
	must.True(d.t, s.Scan())
	m := regexp.MustCompile(`Address=(\S+)`).FindStringSubmatch(s.Text())
	must.SliceLen(d.t, 2, m)
	go func() { _, _ = io.Copy(io.Discard, e) }()
	return m[1], c
}

// backendSignal sends a signal to all backend servers.
func (d *deployment) backendSignal(s syscall.Signal) {
	for _, c := range d.standins {
		must.NoError(d.t, c.Process.Signal(s))
	}
}

func (d *deployment) runCommand(args ...string) []byte {
	c := exec.CommandContext(d.ctx, d.binary, args...)
	c.Env = append(os.Environ(), "CELERYREACH_OPERATOR_KEY="+d.operatorKey)
	var b bytes.Buffer
	c.Stdout, c.Stderr = &b, &b
	must.NoError(d.t, c.Run(), must.Sprint(b.String()))
	return b.Bytes()
}

func (d *deployment) writeFile(name, text string) string {
	p := filepath.Join(d.dir, name)
	must.NoError(d.t, os.WriteFile(p, []byte(text), 0o600))
	return p
}

// reserveAddress reserves a free address for a host. The address stays reserved
// while the host's process is not running.
func (d *deployment) reserveAddress() string {
	r, err := reservation.New()
	must.NoError(d.t, err)
	d.t.Cleanup(r.Release)
	return r.Address
}

func (d *deployment) await(what string, f func() bool) {
	for !f() {
		select {
		case <-d.ctx.Done():
			d.t.Fatalf("waiting for %s", what)
		case <-clock.After(50 * time.Millisecond):
		}
	}
}

func (d *deployment) statusCode(name string) int {
	c, _ := d.do(http.MethodGet, "http://"+d.hosts[name].operatorAddress+"/status", d.operatorKey, "")
	return c
}

func (d *deployment) send(name, method, path, id string) (int, string) {
	return d.do(method, "http://"+d.hosts[name].callerAddress+path, d.callerKey, id)
}

// do sends a request and returns the status code and body. The status code is
// zero if the connection failed or there was no response in time.
func (d *deployment) do(method, url, key, id string) (int, string) {
	x, f := context.WithTimeout(d.ctx, 2*time.Second)
	defer f()
	q, err := http.NewRequestWithContext(x, method, url, strings.NewReader(id))
	must.NoError(d.t, err)
	q.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		q.Header.Set("Idempotency-Key", id)
	}
	t := &http.Transport{DisableKeepAlives: true}
	r, err := t.RoundTrip(q)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(b)
}

// runs returns how often each id was run, summed over all backend servers.
func (d *deployment) runs() map[string]int {
	r := make(map[string]int)
	for _, a := range d.backends {
		_, b := d.do(http.MethodGet, "http://"+a+"/runs", "", "")
		var v map[string]int
		must.NoError(d.t, codec.Unmarshal([]byte(b), &v))
		for k, n := range v {
			r[k] += n
		}
	}
	return r
}

func (d *deployment) totalRuns() int {
	n := 0
	for _, v := range d.runs() {
		n += v
	}
	return n
}
