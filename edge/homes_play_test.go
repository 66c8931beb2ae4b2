package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/weightedservice"
)

const (
	homesSlots = 6
	homesWork  = 130 * time.Millisecond
	// homesTimeout and homesObjective leave requests the time to wait, to be tried again and
	// to be forwarded while their homes change.
	homesTimeout   = 4 * time.Second
	homesObjective = 4 * time.Second
	homesAttempts  = 3
	// versionInterval and changeInterval are the mean times between two versions of the
	// configuration, and between two other changes.
	versionInterval = 150 * time.Millisecond
	changeInterval  = 600 * time.Millisecond
	homesRate       = 1e5 // requests a second that an account may send
	partPath        = "part/"
)

var (
	homesRegions  = []string{"lagos", "abuja", "harcourt"}
	homesAccounts = []string{"unity", "jubilee", "concord"}
	homesKeys     = []string{"key-1", "key-2", "key-3", "key-4", "key-5", "key-6"}
	// homesRoutes are the routes that always exist. Another route with a longer prefix comes
	// and goes for each.
	homesRoutes = []ingress.Ingress{
		{Name: "open", Prefix: "/open/", Public: true, Sticky: true},
		{Name: "read", Prefix: "/read/", Sticky: true},
		{Name: "write", Prefix: "/write/", NonIdempotent: true, Sticky: true},
		{Name: "file", Prefix: "/file/", NonIdempotent: true},
	}
)

// homesPlay changes everything on which the homes of requests depend, at random.
type homesPlay struct {
	w       *deployment
	rand    *rand.Rand
	version uint64
	config  config.Config
	entries map[string]backend.Backend // of the store
	process map[string]*server         // by name of the backend server, the one that has its address
	busy    map[string]bool            // backend servers that something is happening to
	later   []laterEvent
	made    int // processes
}

type laterEvent struct {
	at time.Time
	do func()
}

// runHomesCommand runs one command for the homes of requests:
//
//	homes watch               starts to record; after the hosts, before the backend servers
//	homes backend NAME REGION starts a backend server
//	homes play DURATION RATE  changes homes, and all else that matters to them, for a time while callers send RATE requests a second
func (w *deployment) runHomesCommand(a []string) (string, error) {
	switch a[0] {
	case "watch":
		w.watchHomes()
		w.attempts.limit = homesAttempts
		w.homes.play = &homesPlay{
			w: w, rand: rand.New(rand.NewPCG(w.seed, 1)), entries: make(map[string]backend.Backend), process: make(map[string]*server), busy: make(map[string]bool),
		}
		return "", w.homes.play.setUp()
	case "backend":
		b := backend.Backend{
			Name: a[1], Region: a[2], Domain: a[2], Service: listings, Address: a[1] + ":80", Slots: homesSlots, Started: clock.Now().UnixMilli(),
		}
		w.homes.play.start(b)
		return "", w.homes.play.list(b)
	case "play":
		d, err := time.ParseDuration(a[1])
		if err != nil {
			return "", err
		}
		r, err := strconv.ParseFloat(a[2], 64)
		if err != nil {
			return "", err
		}
		w.homes.play.run(d, r)
		l := w.homes.failures(w)
		if len(l) == 0 {
			return "", nil
		}
		w.report(fmt.Sprintf("seed %d:\n%s", w.seed, strings.Join(l, "\n")))
		return "failures are listed above", nil
	default:
		return "", errors.Errorf("no such command: homes %s", a)
	}
}

// setUp writes the first version of the configuration, in which nothing has homes.
func (p *homesPlay) setUp() error {
	p.config.Services = []service.Service{{Name: listings}}
	for _, r := range homesRoutes {
		p.config.Routes = append(p.config.Routes, completeRoute(r))
	}
	for _, n := range homesAccounts {
		p.config.Accounts = append(p.config.Accounts, account.Account{Name: n, Rate: homesRate, Burst: homesRate})
	}
	for i, k := range homesKeys {
		p.config.Keys = append(p.config.Keys, credential.Credential{Account: homesAccounts[i%len(homesAccounts)], Hash: credential.Hash(k)})
	}
	return p.write()
}

func completeRoute(r ingress.Ingress) ingress.Ingress {
	r.Host, r.Timeout, r.Objective, r.Attempts = callerHost, homesTimeout, homesObjective, homesAttempts
	r.Portions = []weightedservice.Weightedservice{{Service: listings, Weight: 1}}
	return r
}

// write writes the next version of the configuration.
func (p *homesPlay) write() error {
	p.version++
	c := p.config
	c.Version = p.version
	c.Routes, c.Accounts, c.Keys = slices.Clone(c.Routes), slices.Clone(c.Accounts), slices.Clone(c.Keys)
	v, err := codec.Marshal(c)
	if err != nil {
		return err
	}
	p.w.homes.mu.Lock()
	p.w.homes.written[c.Version] = &c
	p.w.homes.mu.Unlock()
	p.w.config.Put(rowKey, v)
	return nil
}

// run plays for a time and waits until all requests have ended.
func (p *homesPlay) run(d time.Duration, rate float64) {
	ctx, f := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.w.stopCallers = func() {
		f()
		<-done
	}
	go func() {
		defer close(done)
		p.call(ctx, rate)
	}()
	end := clock.Now().Add(d)
	version, change := clock.Now(), clock.Now()
	p.after(d/4, p.breakAll)
	p.after(3*d/4, p.breakAll)
	for clock.Now().Before(end) {
		t := end
		for _, u := range []time.Time{version, change, p.next()} {
			if u.Before(t) {
				t = u
			}
		}
		clock.Sleep(t.Sub(clock.Now()))
		p.runDue()
		if !version.After(t) {
			version = t.Add(p.wait(versionInterval))
			p.edit()
		}
		if !change.After(t) {
			change = t.Add(p.wait(changeInterval))
			p.disturb()
		}
	}
	f()
	<-done
	clock.Sleep(homesTimeout) // until backend servers have noticed that callers are gone
}

func (p *homesPlay) wait(mean time.Duration) time.Duration {
	return time.Duration(p.rand.ExpFloat64() * float64(mean))
}

// between returns a random time.
func (p *homesPlay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rand.Float64()*float64(most-least))
}

// after lets something happen at a later time.
func (p *homesPlay) after(d time.Duration, do func()) {
	p.later = append(p.later, laterEvent{at: clock.Now().Add(d), do: do})
	slices.SortStableFunc(p.later, func(a, b laterEvent) int { return a.at.Compare(b.at) })
}

// next returns when something is to happen next.
func (p *homesPlay) next() time.Time {
	if len(p.later) == 0 {
		return clock.Now().Add(time.Hour)
	}
	return p.later[0].at
}

func (p *homesPlay) runDue() {
	for len(p.later) > 0 && !p.later[0].at.After(clock.Now()) {
		e := p.later[0]
		p.later = p.later[1:]
		e.do()
	}
}

// edit changes the configuration.
func (p *homesPlay) edit() {
	for range 1 + p.rand.IntN(2) {
		switch n := p.rand.IntN(10); {
		case n < 3:
			p.config.Routes[p.rand.IntN(len(p.config.Routes))].Homes = p.randomHomes()
		case n < 6:
			p.config.Accounts[p.rand.IntN(len(homesAccounts))].Homes = p.randomHomes()
		case n < 7:
			p.config.Routes[p.rand.IntN(len(p.config.Routes))].Homes = p.randomHomes()
			p.config.Accounts[p.rand.IntN(len(homesAccounts))].Homes = p.randomHomes()
		case n < 9:
			p.togglePart(homesRoutes[p.rand.IntN(len(homesRoutes))])
		default:
			p.config.Keys[p.rand.IntN(len(homesKeys))].Account = homesAccounts[p.rand.IntN(len(homesAccounts))]
		}
	}
	if err := p.write(); err != nil {
		panic(err) // every configuration can be written
	}
}

func (p *homesPlay) randomHomes() []string {
	l := slices.Clone(homesRegions)
	p.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	switch n := p.rand.IntN(10); {
	case n < 3:
		return nil
	case n < 8:
		return l[:1]
	default:
		return l[:2]
	}
}

// togglePart adds or removes the route with a longer prefix.
func (p *homesPlay) togglePart(r ingress.Ingress) {
	r.Name, r.Prefix, r.Homes = r.Name+"-part", r.Prefix+partPath, p.randomHomes()
	// The routes of earlier versions stay as they were written.
	l := slices.DeleteFunc(slices.Clone(p.config.Routes), func(v ingress.Ingress) bool { return v.Name == r.Name })
	if len(l) == len(p.config.Routes) {
		l = append(l, completeRoute(r))
	}
	p.config.Routes = l
}

// start starts a process that takes over the address of b.
func (p *homesPlay) start(b backend.Backend) *server {
	p.made++
	s := p.w.runServer(b, homesWork)
	p.w.servers[fmt.Sprintf("%s/%d", b.Name, p.made)] = s
	p.process[b.Name] = s
	return s
}

// list writes the entry of a backend server, and unlist removes it.
func (p *homesPlay) list(b backend.Backend) error {
	p.entries[b.Name] = b
	return p.w.writeEntry(b)
}

func (p *homesPlay) mustList(b backend.Backend) {
	if err := p.list(b); err != nil {
		panic(err) // every entry can be written
	}
}

func (p *homesPlay) unlist(name string) {
	delete(p.entries, name)
	p.w.backends.Put(name, nil)
}

// disturb lets one of the other changes begin.
func (p *homesPlay) disturb() {
	l := []func(){
		p.dropRegion, p.evacuateRegion, p.leaveRegion, p.loseLinks, p.loseLinks, p.loseRegion, p.loseRegion, p.silence, p.moveEntry, p.moveEntry,
		p.reuseAddress, p.reuseAddress, p.slow, p.slow, p.breakOff, p.breakOff, p.breakOff, p.breakOff, p.fill, p.fill,
	}
	l[p.rand.IntN(len(l))]()
}

func (p *homesPlay) region() string { return homesRegions[p.rand.IntN(len(homesRegions))] }

// idle returns the names of the listed backend servers of a region, or all if it is empty,
// that nothing is happening to.
func (p *homesPlay) idle(region string) []string {
	var l []string
	for n, b := range p.entries {
		if !p.busy[n] && (region == "" || b.Region == region) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// hold marks backend servers as busy for a time, and then does something.
func (p *homesPlay) hold(d time.Duration, names []string, do func(name string)) {
	for _, n := range names {
		p.busy[n] = true
	}
	p.after(d, func() {
		for _, n := range names {
			delete(p.busy, n)
			do(n)
		}
	})
}

// dropRegion removes the entries of a region for a time, one after the other or at once.
func (p *homesPlay) dropRegion() {
	p.drop(p.idle(p.region()), p.between(time.Second, 6*time.Second))
}

func (p *homesPlay) drop(names []string, d time.Duration) {
	step := time.Duration(p.rand.IntN(2)) * p.between(0, 300*time.Millisecond)
	l := make(map[string]backend.Backend)
	for i, n := range names {
		l[n] = p.entries[n]
		p.after(time.Duration(i)*step, func() { p.unlist(n) })
	}
	p.hold(d+time.Duration(len(names))*step, names, func(n string) { p.mustList(l[n]) })
}

func (p *homesPlay) evacuateRegion() {
	r := p.region()
	p.w.config.Put(evacuated+r, []byte(r))
	p.after(p.between(time.Second, 5*time.Second), func() { p.w.config.Put(evacuated+r, nil) })
}

// leaveRegion lets the backend servers of a region state that they leave. Others of the same
// names start later.
func (p *homesPlay) leaveRegion() {
	l := p.idle(p.region())
	for _, n := range l {
		p.process[n].leave(false)
	}
	p.hold(p.between(time.Second, 4*time.Second), l, func(n string) {
		b := p.entries[n]
		b.Started = clock.Now().UnixMilli()
		p.replace(p.process[n], b)
		p.mustList(b)
	})
}

// loseLinks cuts hosts off from some backend servers for a time.
func (p *homesPlay) loseLinks() {
	var l []string
	for _, n := range p.idle("") {
		if p.rand.IntN(3) > 0 {
			l = append(l, n)
		}
	}
	p.lose(p.hosts(1+p.rand.IntN(4)), l, p.between(time.Second, 5*time.Second))
}

// loseRegion cuts most or all hosts off from the backend servers of a region, which are
// dropped soon after, as if they had crashed.
func (p *homesPlay) loseRegion() {
	l := p.idle(p.region())
	d := p.between(2*time.Second, 5*time.Second)
	p.lose(p.hosts(len(p.w.members)-p.rand.IntN(3)), l, d)
	for _, n := range l {
		p.busy[n] = true
	}
	p.after(p.between(0, 2*time.Second), func() { p.drop(l, d) })
}

func (p *homesPlay) hosts(n int) []string {
	var l []string
	for _, i := range p.rand.Perm(len(p.w.members))[:n] {
		l = append(l, p.w.members[i].Name)
	}
	return l
}

func (p *homesPlay) lose(hosts, names []string, d time.Duration) {
	state := []string{linkResets, linkHangs, linkKeeps}[p.rand.IntN(3)]
	for _, n := range names {
		a := p.process[n].backend.Address
		for _, h := range hosts {
			p.w.network.links.set(link{h, a}, state)
			if state == linkResets {
				p.w.network.reset(h, a)
			}
			p.after(d, func() { p.w.network.links.set(link{h, a}, "") })
		}
	}
}

// silence keeps the store, and at times the other hosts too, from answering some hosts.
func (p *homesPlay) silence() {
	l := p.hosts(1 + p.rand.IntN(2))
	if p.rand.IntN(5) == 0 {
		l = p.hosts(len(p.w.members))
	}
	cut := p.rand.IntN(3) == 0
	d := p.between(time.Second, 4*time.Second)
	p.mute(true, cut, l)
	p.w.homes.markSilent(l, clock.Now().Add(d))
	p.after(d, func() { p.mute(false, cut, l) })
}

func (p *homesPlay) mute(mute, cut bool, hosts []string) {
	p.w.config.SetMuted(mute, hosts...)
	p.w.backends.SetMuted(mute, hosts...)
	if !cut {
		return
	}
	for _, h := range hosts {
		p.w.network.setCut(h, mute)
	}
}

// replace lets another process take over the address of s. The requests on the connections
// of s break off some time later.
func (p *homesPlay) replace(s *server, b backend.Backend) {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	p.start(b)
	p.end(s)
}

// end ends a process after a time.
func (p *homesPlay) end(s *server) {
	p.after(p.between(0, 2500*time.Millisecond), func() { _ = s.http.Close() }) // the network closes its connections
}

// one returns a backend server that nothing is happening to, empty if there is none.
func (p *homesPlay) one() string {
	l := p.idle("")
	if len(l) == 0 {
		return ""
	}
	return l[p.rand.IntN(len(l))]
}

// moveEntry moves a backend server to another region for a time. Its entry keeps the name.
func (p *homesPlay) moveEntry() {
	n := p.one()
	if n == "" {
		return
	}
	o := p.entries[n]
	p.slowDown(n, 2*time.Second)
	p.busy[n] = true
	p.after(p.between(0, time.Second), func() {
		p.move(n, p.region())
		p.hold(p.between(3*time.Second, 6*time.Second), []string{n}, func(string) { p.move(n, o.Region) })
	})
}

// move moves a backend server to a region, with its address or to a new one.
func (p *homesPlay) move(name, region string) {
	b, s := p.entries[name], p.process[name]
	b.Region, b.Domain = region, region
	if p.rand.IntN(2) == 0 {
		b.Started = clock.Now().UnixMilli()
	}
	if p.rand.IntN(2) == 0 {
		p.replace(s, b)
	} else {
		b.Address = fmt.Sprintf("%s-%d:80", name, p.made)
		p.start(b)
		p.end(s)
	}
	p.mustList(b)
}

// reuseAddress drops a backend server, and lets another one of another region have its
// address for a time.
func (p *homesPlay) reuseAddress() {
	n := p.one()
	if n == "" {
		return
	}
	o, s := p.entries[n], p.process[n]
	x := o
	x.Name = fmt.Sprintf("other-%d", p.made)
	x.Region = p.region()
	x.Domain = x.Region
	p.slowDown(n, 4*time.Second)
	p.busy[n], p.busy[x.Name] = true, true
	p.after(p.between(0, 300*time.Millisecond), func() { p.unlist(n) })
	p.after(p.between(300*time.Millisecond, 3*time.Second), func() {
		x.Started = clock.Now().UnixMilli()
		p.replace(s, x)
		p.mustList(x)
		p.slowDown(x.Name, 4*time.Second)
	})
	p.after(p.between(5*time.Second, 8*time.Second), func() {
		p.unlist(x.Name)
		p.after(p.between(0, 2*time.Second), func() {
			o.Started = clock.Now().UnixMilli()
			p.replace(p.process[x.Name], o)
			p.mustList(o)
			delete(p.busy, n)
		})
	})
}

// slowDown makes the requests of a backend server slow for a time, most of the times.
func (p *homesPlay) slowDown(name string, d time.Duration) {
	if p.rand.IntN(4) == 0 {
		return
	}
	s, w := p.process[name], p.between(600*time.Millisecond, 2500*time.Millisecond)
	p.set(s, d, func() { s.work = w }, func() { s.work = homesWork })
}

// set changes a backend server for a time.
func (p *homesPlay) set(s *server, d time.Duration, begin, end func()) {
	locked := func(f func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	}
	locked(begin)
	p.after(d, func() { locked(end) })
}

// some returns a backend server, or at times all of a region.
func (p *homesPlay) some() []string {
	if p.rand.IntN(3) == 0 {
		return p.idle(p.region())
	}
	if n := p.one(); n != "" {
		return []string{n}
	}
	return nil
}

func (p *homesPlay) slow() {
	d := p.between(time.Second, 4*time.Second)
	for _, n := range p.some() {
		p.slowDown(n, d)
	}
}

// breakOff lets backend servers break connections, when requests arrive or after a time.
func (p *homesPlay) breakOff() {
	d, v, stalls := p.between(time.Second, 3*time.Second), 1+p.rand.IntN(4), p.between(200*time.Millisecond, 1500*time.Millisecond)
	late := p.rand.IntN(2) == 0
	for _, n := range p.some() {
		s := p.process[n]
		if late {
			p.set(s, d, func() { s.stalls = stalls }, func() { s.stalls = 0 })
		} else {
			p.set(s, d, func() { s.breaks = v }, func() { s.breaks = 0 })
		}
	}
}

// breakAll lets all backend servers break connections for a moment, so that net/http sends
// some requests again in every play.
func (p *homesPlay) breakAll() {
	for _, n := range p.idle("") {
		s := p.process[n]
		p.set(s, time.Second, func() { s.breaks = 2 }, func() { s.breaks = 0 })
	}
}

// fill lets backend servers refuse requests for lack of room.
func (p *homesPlay) fill() {
	d := p.between(500*time.Millisecond, 3*time.Second)
	for _, n := range p.some() {
		s := p.process[n]
		p.set(s, d, func() { s.refusing = &refusing{value: "plain"} }, func() { s.refusing = nil })
	}
}

// call sends rate requests a second to random hosts until ctx ends, and waits for them.
func (p *homesPlay) call(ctx context.Context, rate float64) {
	r := rand.New(rand.NewPCG(p.w.seed, 2))
	var g sync.WaitGroup
	for n := 1; ctx.Err() == nil; n++ {
		clock.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		v := homesRoutes[r.IntN(len(homesRoutes))]
		c := &homesCall{
			id: strconv.Itoa(n), host: p.w.members[r.IntN(len(p.w.members))].Name, path: v.Prefix, key: homesKeys[r.IntN(len(homesKeys))], method: http.MethodGet,
		}
		if r.IntN(2) == 0 {
			c.path += partPath
		}
		o, body := strconv.Itoa(r.IntN(objects)), []int{0, 0, 0, 0, 2 << 10, 2 * maxBuffered}[r.IntN(6)]
		c.path += o
		switch {
		case v.NonIdempotent:
			c.method = http.MethodPost
		case body > 0:
			c.method = http.MethodPut
		}
		g.Go(func() { p.send(c, o, body) })
	}
	g.Wait()
}

// send sends one request to a host.
func (p *homesPlay) send(c *homesCall, object string, body int) {
	e := p.w.hosts[c.host]
	if !e.IsReady() {
		return
	}
	c.at = clock.Now()
	r := &request.Request{
		ID: c.id, Host: callerHost, Method: c.method, Target: c.path, Object: object,
		Header: make(http.Header), Deadline: clock.Now().Add(homesTimeout),
	}
	r.Header.Set(sentHeader, strconv.FormatInt(c.at.UnixNano(), 10))
	if body > 0 {
		r.Length, r.Body = int64(body), bytes.NewReader(make([]byte, body))
		if err := r.BufferBody(maxBuffered); err != nil {
			panic(err) // the body is in memory
		}
	}
	p.w.homes.begin(c)
	u := outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanYes}
	defer func() {
		// Serving panics if the response breaks off after its header.
		v := recover()
		if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(v)
		}
		p.w.runs.end(c.id, u.Ran == outcome.RanNo)
		p.w.homes.end(c, r, u)
	}()
	p.w.repeats.send()
	u = e.Gateway.Serve(context.Background(), r, c.path, c.key, httptest.NewRecorder())
}
