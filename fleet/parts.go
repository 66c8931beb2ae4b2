package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/host"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/platformstandin"
	"celeryreach.example/celeryreach/reservation"
	"celeryreach.example/celeryreach/settings"
)

// task is a component that runs in its own goroutine, which closes done when
// the component has ended.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func startTask(run func(ctx context.Context) error) *task {
	x, c := context.WithCancel(context.Background())
	p := &task{cancel: c, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = run(x)
	}()
	return p
}

func (p *task) wait() error {
	<-p.done
	return p.err
}

// backendServer is a backend stand-in and the task that serves it.
type backendServer struct {
	handler *backendstandin.Backendstandin
	task    *task
}

// managedHost is the state of one host that is kept across restarts of the
// host.
type managedHost struct {
	settings  settings.Settings
	listeners map[string]*listener
	counter   *counter.Counter
	task      *task
	running   bool
}

func (h *managedHost) labels() []string {
	return []string{h.settings.Name, h.settings.Domain, h.settings.Region}
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	l, err := bind(ctx, "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	f.network.setLabels(l.Addr().String(), []string{PlatformLabel})
	f.Platform = &platformstandin.Platformstandin{Clock: f.Clock, Table: new(memorytable.Memorytable)}
	f.PlatformURL = "http://" + l.Addr().String()
	f.platform = &platformclient.Platformclient{URL: f.PlatformURL, Timeout: platformTimeout}
	f.serve(l, f.Platform)
	return nil
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for _, d := range f.Config.Domains {
		for _, s := range f.Config.Services {
			for i := range f.BackendsPerService {
				l, err := bind(ctx, "127.0.0.1:0")
				if err != nil {
					return errors.Wrap(err, "backend stand-in")
				}
				b := backend.Backend{
					Name: fmt.Sprintf("%s-%s-%d", s.Name, d.Name, i+1), Domain: d.Name, Service: s.Name,
					Address: l.Addr().String(), Slots: f.Slots, Connections: connectionsPerBackend,
				}
				f.Config.Backends = append(f.Config.Backends, b)
				h := &backendstandin.Backendstandin{Clock: f.Clock, Name: b.Name, Slots: b.Slots, RequestDuration: f.RequestDuration, ColdFor: f.ColdFor}
				f.backends = append(f.backends, &backendServer{handler: h, task: f.serve(l, h)})
			}
		}
	}
	return nil
}

const connectionsPerBackend = 400

func (f *Fleet) serve(l net.Listener, h http.Handler) *task {
	s := &httplisten.Httplisten{Listener: l, Handler: h, DrainTimeout: drainTimeout}
	p := startTask(s.Run)
	f.tasks = append(f.tasks, p)
	return p
}

// addCredentials adds a key for each client account and one operator key to the
// configuration.
func (f *Fleet) addCredentials() {
	f.Keys = make(map[string]string)
	f.OperatorKey = rand.Text()
	f.Config.Operators = append(f.Config.Operators, credential.Credential{ID: "fleet-operator", Hash: credential.Hash(f.OperatorKey)})
	for _, a := range f.Config.Accounts {
		k := rand.Text()
		f.Keys[a.Name] = k
		f.Config.Keys = append(f.Config.Keys, credential.Credential{ID: "key-" + a.Name, Account: a.Name, Hash: credential.Hash(k)})
	}
}

func (f *Fleet) addHost(ctx context.Context, domain string, i int) error {
	s := settings.Default()
	s.Name = domain + "-" + string(rune('a'+i))
	s.Domain = domain
	for _, d := range f.Config.Domains {
		if d.Name == domain {
			s.Region = d.Region
		}
	}
	s.PlatformURL = f.PlatformURL
	s.DrainTimeout = drainTimeout
	h := &managedHost{listeners: make(map[string]*listener), counter: &counter.Counter{Prefix: "Requests." + s.Name + "."}}
	for _, a := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		r, err := reservation.New()
		if err != nil {
			return errors.Wrap(err, "free port")
		}
		f.reservedPorts = append(f.reservedPorts, r)
		*a = r.Address
		l, err := bind(ctx, *a)
		if err != nil {
			return errors.Wrap(err, "free port")
		}
		h.listeners[*a] = &listener{Listener: l}
	}
	if f.AdjustSettings != nil {
		f.AdjustSettings(&s)
	}
	h.settings = s
	f.network.setLabels(s.PeerAddress, h.labels())
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *Fleet) startHost(h *managedHost) {
	d := f.network.dialer(h.labels(), f.Clock)
	p := &platformclient.Platformclient{URL: f.PlatformURL, Timeout: platformTimeout, Dial: d}
	x := &host.Host{
		Settings: h.settings, Store: p.Store(), Clock: f.Clock, Log: f.Log.With("On", h.settings.Name),
		Incarnation: mathrand.Uint64(), Dial: d, Listen: h.listen, Counter: h.counter,
	}
	h.running = true
	h.task = startTask(func(ctx context.Context) error {
		defer p.Close()
		return x.Run(ctx)
	})
}
