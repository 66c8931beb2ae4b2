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

// Hosts returns the names of all hosts, in the order of their failure domains.
func (f *Fleet) Hosts() []string {
	r := make([]string, 0, len(f.hosts))
	for _, h := range f.hosts {
		r = append(r, h.settings.Name)
	}
	return r
}

// Running returns the names of the running hosts.
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
	return f.hostByName(name).settings
}

// OutcomeCounts returns the number of requests of a host by outcome.
func (f *Fleet) OutcomeCounts(name string) map[string]uint64 {
	return f.hostByName(name).counter.Totals()
}

// StopHost shuts a host down gracefully and waits until it has ended.
func (f *Fleet) StopHost(name string) error {
	h := f.hostByName(name)
	h.task.cancel()
	err := h.task.wait()
	f.closeHost(h)
	return err
}

// KillHost simulates the crash of a host: all its connections break, and no
// message that it sends while it stops reaches other hosts or the platform.
func (f *Fleet) KillHost(name string) {
	h := f.hostByName(name)
	f.network.partition(name, anyLabel)
	for _, l := range h.listeners {
		l.closeAll()
	}
	h.task.cancel()
	// The error is ignored because a process that really crashed could not return one.
	_ = h.task.wait()
	f.closeHost(h)
	f.network.heal(name, anyLabel)
}

// StartHost starts a replacement for a stopped or killed host, with the same
// name and addresses and a new incarnation.
func (f *Fleet) StartHost(name string) {
	f.startHost(f.hostByName(name))
}

// StopBackend stops a backend stand-in. Connections to it are refused
// afterwards.
func (f *Fleet) StopBackend(name string) error {
	for _, b := range f.backends {
		if b.handler.Name == name {
			b.task.cancel()
			return b.task.wait()
		}
	}
	return errors.Errorf("no backend server %s", name)
}

// Status requests the status of a host from its operator address.
func (f *Fleet) Status(ctx context.Context, name string) (status.Status, error) {
	var s status.Status
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme(f.Settings(name).OperatorTLS)+f.Settings(name).OperatorAddress+"/status", nil)
	if err != nil {
		return s, err
	}
	q.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	c, b, err := f.do(q)
	if err != nil {
		return s, err
	}
	if c != http.StatusOK {
		return s, errors.Errorf("status of %s: %d %s", name, c, b)
	}
	return s, codec.Unmarshal(b, &s)
}

// Send sends a caller's request to a host with the account's key and returns
// the status code and body of the response. The id, if any, is sent as the
// idempotency key and in the request body.
func (f *Fleet) Send(ctx context.Context, host, account, method, path, id string) (code int, answer string, err error) {
	return f.SendKey(ctx, host, f.Keys[account], method, path, id)
}

// SendKey is like Send but takes the key instead of the account.
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

// do opens a new connection for each request, so that no request uses a
// connection that a previous process on the same address left open.
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

func (f *Fleet) closeHost(h *managedHost) {
	h.running = false
	for _, l := range h.listeners {
		l.closeAll()
	}
	clear(h.listeners)
}

// hostByName panics on an unknown name because that is an error in the
// scenario.
func (f *Fleet) hostByName(name string) *managedHost {
	for _, h := range f.hosts {
		if h.settings.Name == name {
			return h
		}
	}
	panic("no host " + name)
}
