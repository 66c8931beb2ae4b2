// Package certreloader reloads the certificates of one address while the process runs.
package certreloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Certreloader reads the certificate files during handshakes, at most once per second,
// so that a renewed certificate is used without a restart. If the files do not match,
// for example between the writing of a certificate and of its key, the previous
// contents stay in use: rejecting handshakes would disconnect every caller because of
// an operator's mistake.
type Certreloader struct {
	// Clock times the checks of the files.
	Clock clockwork.Clock
	// Log receives one line for each renewal and for each failed check.
	Log *log.Logger
	// Certificate contains the paths of the files.
	Certificate certificate.Certificate

	mu          sync.Mutex
	lastChecked time.Time
	contents    [3]string
	pair        tls.Certificate
	pool        *x509.CertPool
}

// Load reads the files for the first time. A process must not start with certificates
// that do not match.
func (c *Certreloader) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChecked = c.Clock.Now()
	return c.reload()
}

// ServerConfig returns the TLS configuration of an address whose clients authenticate
// with keys instead of certificates.
func (c *Certreloader) ServerConfig() *tls.Config {
	return c.server(tls.NoClientCert)
}

// MutualConfig returns the TLS configuration of an address that requires a client
// certificate issued by the authority.
func (c *Certreloader) MutualConfig() *tls.Config {
	return c.server(tls.RequireAndVerifyClientCert)
}

// ClientConfig returns the TLS configuration of one connection to another host, whose
// certificate must be valid for name. Certificate.ServerName, if set, replaces name.
func (c *Certreloader) ClientConfig(name string) *tls.Config {
	p, a := c.current()
	if c.Certificate.ServerName != "" {
		name = c.Certificate.ServerName
	}
	return &tls.Config{Certificates: []tls.Certificate{p}, RootCAs: a, ServerName: name, MinVersion: tls.VersionTLS13}
}

func (c *Certreloader) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p, a := c.current()
			return &tls.Config{Certificates: []tls.Certificate{p}, ClientCAs: a, ClientAuth: auth, MinVersion: tls.VersionTLS13}, nil
		},
	}
}

// current returns the certificate and the authority, after checking the files if
// checkInterval has passed.
func (c *Certreloader) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.Clock.Now(); n.Sub(c.lastChecked) >= checkInterval {
		c.lastChecked = n
		if err := c.reload(); err != nil {
			c.Log.Warn("certificates not renewed", "File", c.Certificate.File, "Error", err)
		}
	}
	return c.pair, c.pool
}

func (c *Certreloader) reload() error {
	var t [3]string
	for i, f := range []string{c.Certificate.File, c.Certificate.KeyFile, c.Certificate.AuthorityFile} {
		if f == "" {
			continue
		}
		b, err := os.ReadFile(f)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		t[i] = string(b)
	}
	if t == c.contents {
		return nil
	}
	p, err := tls.X509KeyPair([]byte(t[0]), []byte(t[1]))
	if err != nil {
		return errors.Wrap(err, c.Certificate.File)
	}
	a := x509.NewCertPool()
	if c.Certificate.AuthorityFile != "" && !a.AppendCertsFromPEM([]byte(t[2])) {
		return errors.Errorf("%s contains no certificate", c.Certificate.AuthorityFile)
	}
	c.contents, c.pair, c.pool = t, p, a
	c.Log.Info("certificates read", "File", c.Certificate.File, "NotAfter", p.Leaf.NotAfter)
	return nil
}
