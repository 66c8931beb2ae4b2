package fleet

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/status"
)

// Hosts returns the names of all hosts, in the order of the failure domains.
func (f *Fleet) Hosts() []string {
	r := make([]string, 0, len(f.hosts))
	for _, h := range f.hosts {
		r = append(r, h.settings.Name)
	}
	return r
}

// Running returns the names of the hosts that run.
func (f *Fleet) Running() []string {
	var r []string
	for _, h := range f.hosts {
		if h.running {
			r = append(r, h.settings.Name)
		}
	}
	return r
}

// Settings returns the settings of a host.
func (f *Fleet) Settings(name string) settings.Settings {
	return f.site(name).settings
}

// Totals returns how the requests of a host ended.
func (f *Fleet) Totals(name string) map[string]uint64 {
	return f.site(name).counter.Totals()
}

// StopHost shuts a host down gracefully and returns when it has ended.
func (f *Fleet) StopHost(name string) error {
	h := f.site(name)
	h.part.cancel()
	err := h.part.wait()
	f.gone(h)
	return err
}

// KillHost ends a host as a crash does: every connection breaks, and nobody
// hears anything of it any more.
func (f *Fleet) KillHost(name string) {
	h := f.site(name)
	f.network.cut(name, anywhere)
	for _, l := range h.listeners {
		l.kill()
	}
	h.part.cancel()
	// A crash reports nothing; the end of the goroutine is all that counts.
	_ = h.part.wait()
	f.gone(h)
	f.network.heal(name, anywhere)
}

// StartHost starts a replacement for a host that was stopped or killed, under
// the same name and addresses and with a new incarnation.
func (f *Fleet) StartHost(name string) {
	f.startHost(f.site(name))
}

// StopBackend ends a backend stand-in; requests to it are refused.
func (f *Fleet) StopBackend(name string) error {
	for _, b := range f.backends {
		if b.handler.Name == name {
			b.part.cancel()
			return b.part.wait()
		}
	}
	return errors.Errorf("no backend server %s", name)
}

// Status asks a host for its state.
func (f *Fleet) Status(ctx context.Context, name string) (status.Status, error) {
	var s status.Status
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme(f.Settings(name).OperatorTLS)+f.Settings(name).OperatorAddress+"/status", nil)
	if err != nil {
		return s, err
	}
	q.Header.Set("Authorization", "Bearer "+f.Operator)
	c, b, err := f.do(q)
	if err != nil {
		return s, err
	}
	if c != http.StatusOK {
		return s, errors.Errorf("status of %s: %d %s", name, c, b)
	}
	return s, codec.Unmarshal(b, &s)
}

// Send sends one caller's request to a host, with the account's key, and
// returns the answer's status and body. A request with an id carries a body.
func (f *Fleet) Send(ctx context.Context, host, account, method, path, id string) (code int, answer string, err error) {
	return f.SendKey(ctx, host, f.Keys[account], method, path, id)
}

// SendKey is Send with any key.
func (f *Fleet) SendKey(ctx context.Context, host, key, method, path, id string) (c int, answer string, err error) {
	var b io.Reader
	if id != "" {
		b = strings.NewReader("id=" + id)
	}
	q, err := http.NewRequestWithContext(ctx, method, scheme(f.Settings(host).CallerTLS)+f.Settings(host).CallerAddress+path, b)
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		q.Header.Set("Idempotency-Key", id)
	}
	c, a, err := f.do(q)
	return c, string(a), err
}

// do uses a connection of its own, so that a request never meets a connection
// that an earlier host of the same address left behind.
func (f *Fleet) do(q *http.Request) (code int, body []byte, err error) {
	t := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: f.Roots, MinVersion: tls.VersionTLS13}}
	r, err := t.RoundTrip(q)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, b, err
}

func scheme(c *certificate.Certificate) string {
	if c == nil {
		return "http://"
	}
	return "https://"
}

func (f *Fleet) gone(h *site) {
	h.running = false
	for _, l := range h.listeners {
		l.kill()
	}
	clear(h.listeners)
}

// site panics on an unknown name: it is a mistake of the scenario.
func (f *Fleet) site(name string) *site {
	for _, h := range f.hosts {
		if h.settings.Name == name {
			return h
		}
	}
	panic("no host " + name)
}
