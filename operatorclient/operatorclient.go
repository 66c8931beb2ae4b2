// Package operatorclient is a client for the operators' interface of a host.
package operatorclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/problem"
	"celeryreach.example/celeryreach/responsebody"
	"celeryreach.example/celeryreach/responsehead"
	"celeryreach.example/celeryreach/status"
)

// maxAnswerBytes bounds an answer, which may be a configuration.
const maxAnswerBytes = 64 << 20

// Operatorclient sends requests to the operators' interface of one host.
type Operatorclient struct {
	// URL is the base URL of the host's operators' interface.
	URL string
	// Key is the operator's key.
	Key string
	// Timeout limits each request.
	Timeout time.Duration
	// Transport sends the requests.
	Transport http.RoundTripper
}

// Config returns the configuration in force on the host.
func (o *Operatorclient) Config(ctx context.Context) (*config.Config, error) {
	c := new(config.Config)
	return c, o.call(ctx, http.MethodGet, "/config", nil, c)
}

// ConfigVersion returns an earlier version, if the host still holds it in its history.
func (o *Operatorclient) ConfigVersion(ctx context.Context, version uint64) (*config.Config, error) {
	c := new(config.Config)
	return c, o.call(ctx, http.MethodGet, "/config?version="+strconv.FormatUint(version, 10), nil, c)
}

// CommitConfig commits c as the successor of version from. A conflict or an invalid
// configuration is returned as a *problem.Problem.
func (o *Operatorclient) CommitConfig(ctx context.Context, from uint64, c *config.Config) (acceptedversion.Acceptedversion, error) {
	var a acceptedversion.Acceptedversion
	err := o.call(ctx, http.MethodPut, "/config?from="+strconv.FormatUint(from, 10), c, &a)
	return a, err
}

// Status returns the state known to the host.
func (o *Operatorclient) Status(ctx context.Context) (status.Status, error) {
	var s status.Status
	err := o.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Get requests any other path of the interface and decodes the response into
// out.
func (o *Operatorclient) Get(ctx context.Context, path string, out any) error {
	return o.call(ctx, http.MethodGet, path, nil, out)
}

func (o *Operatorclient) call(ctx context.Context, method, path string, in, out any) error {
	x, f := context.WithTimeout(ctx, o.Timeout)
	defer f()
	var r io.Reader
	if in != nil {
		b, err := codec.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "request")
		}
		r = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(x, method, o.URL+path, r)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	q.Header.Set("Authorization", "Bearer "+o.Key)
	p, err := o.Transport.RoundTrip(q)
	if err != nil {
		return errors.Wrap(err, "host")
	}
	defer p.Body.Close()
	if err := responsehead.Check(p.StatusCode, p.Header); err != nil {
		return errors.Wrap(err, "host")
	}
	b, err := responsebody.Read(p.Body, maxAnswerBytes)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	if p.StatusCode != http.StatusOK {
		return responseError(p, b)
	}
	return errors.Wrap(codec.Unmarshal(b, out), "answer")
}

// responseError converts an error response to a *problem.Problem, or to a plain
// error if the body is not a problem.
func responseError(p *http.Response, b []byte) error {
	e := new(problem.Problem)
	if err := codec.Unmarshal(b, e); err != nil || e.Problem == "" {
		return errors.Errorf("host: %s", p.Status)
	}
	return e
}
