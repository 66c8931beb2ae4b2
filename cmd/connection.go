package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/operatorclient"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/problem"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/validate"
)

// Environment variables. There is no flag for the key itself, because every user
// of a machine can read command-line arguments in the process list.
const (
	operatorVariable  = "CELERYREACH_OPERATOR"
	keyVariable       = "CELERYREACH_OPERATOR_KEY"
	authorityVariable = "CELERYREACH_AUTHORITY"
	lookupVariable    = "CELERYREACH_LOOKUP"
)

const callTimeout = 10 * time.Second

// connection provides access to the configuration, through the operators'
// interface of a host or directly on the platform. client is nil if the platform is
// used directly.
type connection struct {
	client      *operatorclient.Operatorclient
	transport   *http.Transport
	load        func(ctx context.Context) (*config.Config, error)
	loadVersion func(ctx context.Context, version uint64) (*config.Config, error)
	commit      func(ctx context.Context, from uint64, c *config.Config) (acceptedversion.Acceptedversion, error)
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`URL` of a host's operators' interface (or " + operatorVariable + ")"},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key (or " + keyVariable + ")"},
		&cli.StringFlag{Name: "authority", Usage: "`FILE` with the certificate authority of the hosts (or " + authorityVariable + ")"},
		&cli.BoolFlag{Name: "json", Usage: "write JSON"},
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "`URL` of the platform: go past the hosts, for a deployment without hosts or operators' keys"}
}

func (m *Cmd) connect(c *cli.Command) (*connection, error) {
	t, err := m.newTransport(c)
	if err != nil {
		return nil, err
	}
	n := &connection{transport: t}
	if u := c.String("platform"); u != "" {
		p := &platformclient.Platformclient{URL: u, Timeout: callTimeout}
		n.usePlatform(p.Store())
		return n, nil
	}
	k, err := m.operatorKey(c)
	if err != nil {
		return nil, err
	}
	u := m.flagOrEnv(c, "operator", operatorVariable)
	if u == "" || k == "" {
		return nil, &exitError{code: exitUsage, text: "a host and an operator's key are needed: set " + operatorVariable + " and " + keyVariable}
	}
	n.client = &operatorclient.Operatorclient{URL: strings.TrimSuffix(u, "/"), Key: k, Timeout: callTimeout, Transport: t}
	n.load, n.loadVersion, n.commit = n.client.Config, n.client.ConfigVersion, n.client.CommitConfig
	return n, nil
}

// close closes idle connections.
func (n *connection) close() {
	n.transport.CloseIdleConnections()
}

// flagOrEnv returns the value of the flag, or that of the environment variable if
// the flag is empty.
func (m *Cmd) flagOrEnv(c *cli.Command, flag, variable string) string {
	if v := c.String(flag); v != "" {
		return v
	}
	return m.Getenv(variable)
}

// operatorKey returns the operator's key from the key file or the environment.
func (m *Cmd) operatorKey(c *cli.Command) (string, error) {
	f := c.String("key-file")
	if f == "" {
		return m.Getenv(keyVariable), nil
	}
	b, err := os.ReadFile(f)
	if err != nil {
		return "", errors.Wrap(err, "operator's key")
	}
	return strings.TrimSpace(string(b)), nil
}

// newTransport returns a transport that trusts the given certificate authority, or
// the system's authorities if none is given.
func (m *Cmd) newTransport(c *cli.Command) (*http.Transport, error) {
	t := new(http.Transport)
	f := m.flagOrEnv(c, "authority", authorityVariable)
	if f == "" {
		return t, nil
	}
	b, err := os.ReadFile(f)
	if err != nil {
		return nil, errors.Wrap(err, "certificate authority")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("%s holds no certificate", f)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS13}
	return t, nil
}

// usePlatform reads and changes the configuration on the platform without a host.
// It validates changes itself, as a host would.
func (n *connection) usePlatform(p store.Store) {
	n.load = func(ctx context.Context) (*config.Config, error) { return loadFromPlatform(ctx, p) }
	n.loadVersion = func(context.Context, uint64) (*config.Config, error) {
		return nil, errors.New("only the newest version can be loaded from the platform")
	}
	n.commit = func(ctx context.Context, from uint64, c *config.Config) (acceptedversion.Acceptedversion, error) {
		if e := validate.Config(c); len(e) > 0 {
			return acceptedversion.Acceptedversion{}, &problem.Problem{Problem: problem.InvalidConfig, Message: "nothing was changed", Mistakes: e}
		}
		a, ok, err := (&configcommit.Configcommit{Store: p}).Commit(ctx, from, *c)
		if err == nil && !ok {
			err = &problem.Problem{Problem: problem.Conflict, Message: "the accepted version is another one; nothing was changed", Accepted: a}
		}
		return a, err
	}
}

// loadFromPlatform reads the accepted configuration from the platform.
func loadFromPlatform(ctx context.Context, p store.Store) (*config.Config, error) {
	r, err := p.Read(ctx, acceptedversion.ConfigKey)
	if err != nil {
		return nil, err
	}
	if r.Version == 0 {
		return nil, errors.New("the platform has no configuration; see config init")
	}
	var a acceptedversion.Acceptedversion
	if err := codec.Unmarshal(r.Value, &a); err != nil {
		return nil, errors.Wrap(err, "accepted version")
	}
	b, err := p.GetObject(ctx, acceptedversion.ObjectName(acceptedversion.ConfigKey, a.Hash))
	if err != nil {
		return nil, err
	}
	c := new(config.Config)
	if err := codec.Unmarshal(b, c); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	c.Version = a.Version
	return c, nil
}
