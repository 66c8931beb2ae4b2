package cmd

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/responsebody"
	"celeryreach.example/celeryreach/responsehead"
)

func (m *Cmd) lookupCommand() *cli.Command {
	return &cli.Command{
		Name: "lookup", Usage: "ask a host which entry hosts a caller should use, best first", ArgsUsage: "ACCOUNT SERVICE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`URL` of any host's caller address (or " + lookupVariable + ")"},
			&cli.StringFlag{Name: "region", Usage: "the caller's `REGION`"},
			&cli.StringFlag{Name: "address", Usage: "the caller's IP `ADDRESS`"},
			&cli.StringFlag{Name: "authority", Usage: "`FILE` with the certificate authority of the hosts (or " + authorityVariable + ")"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: m.runLookup, OnUsageError: usageError,
	}
}

func (m *Cmd) runLookup(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ACCOUNT", "SERVICE")
	if err != nil {
		return err
	}
	u := m.flagOrEnv(c, "host", lookupVariable)
	if u == "" {
		return &exitError{code: exitUsage, text: "a host is needed: -host or " + lookupVariable}
	}
	t, err := m.newTransport(c)
	if err != nil {
		return err
	}
	defer t.CloseIdleConnections()
	q := url.Values{"account": {a[0]}, "service": {a[1]}}
	for _, f := range []string{"region", "address"} {
		if v := c.String(f); v != "" {
			q.Set(f, v)
		}
	}
	r, err := fetchLookup(ctx, t, strings.TrimSuffix(u, "/")+"/lookup?"+q.Encode())
	if err != nil {
		return err
	}
	return m.writeResult(c, r, func() {
		for _, h := range r.EntryHosts {
			m.printf("%s\n", h)
		}
		m.printf("good for %s\n", r.TTL)
	})
}

// maxLookupBytes bounds the answer to a look-up.
const maxLookupBytes = 1 << 20

// fetchLookup sends a look-up request to a host.
func fetchLookup(ctx context.Context, t http.RoundTripper, u string) (lookupanswer.Lookupanswer, error) {
	var a lookupanswer.Lookupanswer
	x, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	q, err := http.NewRequestWithContext(x, http.MethodGet, u, nil)
	if err != nil {
		return a, errors.Wrap(err, "look-up")
	}
	p, err := t.RoundTrip(q)
	if err != nil {
		return a, errors.Wrap(err, "look-up")
	}
	defer p.Body.Close()
	if err := responsehead.Check(p.StatusCode, p.Header); err != nil {
		return a, errors.Wrap(err, "look-up")
	}
	b, err := responsebody.Read(p.Body, maxLookupBytes)
	if err != nil {
		return a, errors.Wrap(err, "look-up")
	}
	if p.StatusCode != http.StatusOK {
		var o outcome.Outcome
		if err := codec.Unmarshal(b, &o); err != nil || o.Outcome == "" {
			return a, errors.Errorf("look-up: %s", p.Status)
		}
		return a, errors.Errorf("look-up: %s: %s (retry after %s; entry hosts %v)", o.Outcome, o.Message, o.RetryAfter, o.EntryHosts)
	}
	return a, errors.Wrap(codec.Unmarshal(b, &a), "look-up")
}
