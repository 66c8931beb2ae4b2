// Package platformclient accesses the platform over HTTP.
package platformclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/responsebody"
	"celeryreach.example/celeryreach/responsehead"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	// maxAnswerBytes bounds the answers of all calls but those that return objects and ranges of
	// rows, which maxContentBytes bounds: a configuration may have that size.
	maxAnswerBytes  = 8 << 20
	maxContentBytes = 64 << 20
)

// Platformclient sends requests to the platform at a base URL.
type Platformclient struct {
	// URL is the base URL.
	URL string
	// Timeout bounds each call, so that an unresponsive connection does not
	// block a component of the host indefinitely.
	Timeout time.Duration
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
}

// Close closes all idle connections.
func (p *Platformclient) Close() {
	p.roundTripper().CloseIdleConnections()
}

// Store returns a store.Store whose functions call the platform.
func (p *Platformclient) Store() store.Store {
	return store.Store{
		Read: p.read, Scan: p.scan, Commit: p.commit, PutObject: p.put, GetObject: p.get,
		Hosts: p.hosts, Announce: p.announce,
	}
}

func (p *Platformclient) read(ctx context.Context, key string) (row.Row, error) {
	var r row.Row
	err := p.callJSON(ctx, http.MethodGet, "/rows?key="+url.QueryEscape(key), nil, &r, maxAnswerBytes)
	return r, err
}

func (p *Platformclient) scan(ctx context.Context, prefix string) ([]row.Row, error) {
	var r []row.Row
	err := p.callJSON(ctx, http.MethodGet, "/scan?prefix="+url.QueryEscape(prefix), nil, &r, maxContentBytes)
	return r, err
}

func (p *Platformclient) commit(ctx context.Context, c commit.Commit) (bool, error) {
	var ok bool
	err := p.callJSON(ctx, http.MethodPost, "/commit", c, &ok, maxAnswerBytes)
	return ok, err
}

func (p *Platformclient) put(ctx context.Context, name string, content []byte) error {
	_, err := p.do(ctx, http.MethodPut, "/objects/"+name, content, maxAnswerBytes)
	return err
}

func (p *Platformclient) get(ctx context.Context, name string) ([]byte, error) {
	return p.do(ctx, http.MethodGet, "/objects/"+name, nil, maxContentBytes)
}

func (p *Platformclient) hosts(ctx context.Context) ([]member.Member, error) {
	var m []member.Member
	err := p.callJSON(ctx, http.MethodGet, "/hosts", nil, &m, maxAnswerBytes)
	return m, err
}

func (p *Platformclient) announce(ctx context.Context, m member.Member) error {
	return p.callJSON(ctx, http.MethodPost, "/hosts", m, nil, maxAnswerBytes)
}

// callJSON sends in as JSON and decodes the answer, of at most limit bytes, into out; both may be
// nil.
func (p *Platformclient) callJSON(ctx context.Context, method, path string, in, out any, limit int64) error {
	var b []byte
	if in != nil {
		v, err := codec.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "platform request")
		}
		b = v
	}
	a, err := p.do(ctx, method, path, b, limit)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(codec.Unmarshal(a, out), "platform answer")
}

// do sends one request and returns the body of the answer, of at most limit bytes.
func (p *Platformclient) do(ctx context.Context, method, path string, b []byte, limit int64) ([]byte, error) {
	x, f := context.WithTimeout(ctx, p.Timeout)
	defer f()
	q, err := http.NewRequestWithContext(x, method, p.URL+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return nil, errors.Wrap(err, "platform request")
	}
	q.ContentLength = int64(len(b))
	r, err := p.roundTripper().RoundTrip(q)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	defer r.Body.Close()
	if err := responsehead.Check(r.StatusCode, r.Header); err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	a, err := responsebody.Read(r.Body, limit)
	if err != nil {
		return nil, errors.Wrap(err, "platform answer")
	}
	if r.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform: %s %s: %s", method, path, r.Status)
	}
	return a, nil
}

// roundTripper returns the client's own http.Transport. It is used without
// http.Client, which follows redirects: a redirected commit would be sent
// twice.
func (p *Platformclient) roundTripper() *http.Transport {
	p.once.Do(func() {
		p.transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		}
		if p.Dial != nil {
			p.transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
				return p.Dial(ctx, address)
			}
		}
	})
	return p.transport
}
