package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const timeLimit = "time limit" // as the failure of a request

// client sends one request after the other, on connections that it keeps, to the hosts that
// the directory names.
type client struct {
	lab    *lab
	region string
	method string
	path   string
	key    string
	limit  time.Duration
	pause  time.Duration
	// keepX is how many times as long as the directory says its answers are kept.
	keepX     float64
	transport *http.Transport

	addresses []string
	until     time.Time
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// run sends requests until ctx ends, and finishes the last one.
func (c *client) run(ctx context.Context) {
	c.transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		if a := c.address(); a != "" {
			c.send(a)
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.pause):
		}
	}
}

// address returns a host, from the last answer of a directory.
func (c *client) address() string {
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[mrand.IntN(len(c.addresses))]
}

func (c *client) resolve() {
	q := &http.Client{Timeout: time.Second}
	for _, h := range c.lab.hosts {
		v := url.Values{"name": {hostName}, "region": {c.region}, "zone": {h.zone}}
		p, err := q.Get("http://" + h.directory + "/resolve?" + v.Encode())
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(p.Body).Decode(&a)
		_ = p.Body.Close() // the body was read
		if err == nil && len(a.Addresses) > 0 {
			c.addresses, c.until = a.Addresses, time.Now().Add(time.Duration(a.TTL*max(c.keepX, 1)*float64(time.Second)))
			return
		}
	}
}

// send sends one request and records its end.
func (c *client) send(address string) *request {
	r := &request{id: newID(), host: address, limit: c.limit}
	x, f := context.WithTimeout(context.Background(), c.limit)
	defer f()
	q, err := http.NewRequestWithContext(x, c.method, "http://"+address+c.path, body(c.method))
	if err != nil {
		panic(err) // the address comes from a directory
	}
	q.Host = hostName
	q.Header.Set("Request-Id", r.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))
	if c.key != "" {
		q.Header.Set("Key", c.key)
	}
	r.sent = time.Now()
	c.lab.record.addRequest(r)
	s, err := c.exchange(q)
	c.lab.record.mu.Lock()
	defer c.lab.record.mu.Unlock()
	r.done, r.status = time.Now(), s
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		r.failure = timeLimit
	default:
		r.failure = "connection ended: " + err.Error()
	}
	return r
}

// exchange returns the status of a complete answer.
func (c *client) exchange(q *http.Request) (int, error) {
	p, err := c.transport.RoundTrip(q)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	if _, err := io.ReadAll(p.Body); err != nil {
		return 0, err
	}
	return p.StatusCode, nil
}

func body(method string) io.Reader {
	if method == http.MethodGet {
		return nil
	}
	return strings.NewReader(strings.Repeat("b", 1200))
}
