// Package certs keeps the certificates of one address up to date while the
// process runs.
package certs

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

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// Certs reads the files at handshakes, at most once in a second, so that a
// renewed certificate is used without a restart. While the files do not fit
// each other, as in the moment between the writing of one and of the other,
// the former content goes on: refusing would cut every caller for a slip of an
// operator.
type Certs struct {
	// Clock spaces the looks at the files.
	Clock clockwork.Clock
	// Log receives one line for each renewal and each look that failed.
	Log *log.Logger
	// Certificate names the files.
	Certificate certificate.Certificate

	mu      sync.Mutex
	looked  time.Time
	content [3]string
	pair    tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files for the first time. A process must not start with
// certificates that do not fit.
func (c *Certs) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looked = c.Clock.Now()
	return c.read()
}

// Server returns the configuration of an address whose clients show keys.
func (c *Certs) Server() *tls.Config {
	return c.server(tls.NoClientCert)
}

// Mutual returns the configuration of an address that only holders of a
// certificate of the authority may use.
func (c *Certs) Mutual() *tls.Config {
	return c.server(tls.RequireAndVerifyClientCert)
}

// Client returns the configuration of one connection to another host, which
// must show a certificate for name.
func (c *Certs) Client(name string) *tls.Config {
	p, a := c.current()
	if c.Certificate.ServerName != "" {
		name = c.Certificate.ServerName
	}
	return &tls.Config{Certificates: []tls.Certificate{p}, RootCAs: a, ServerName: name, MinVersion: tls.VersionTLS13}
}

func (c *Certs) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p, a := c.current()
			return &tls.Config{Certificates: []tls.Certificate{p}, ClientCAs: a, ClientAuth: auth, MinVersion: tls.VersionTLS13}, nil
		},
	}
}

func (c *Certs) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.Clock.Now(); n.Sub(c.looked) >= checkEvery {
		c.looked = n
		if err := c.read(); err != nil {
			c.Log.Warn("certificates not renewed", "File", c.Certificate.File, "Error", err)
		}
	}
	return c.pair, c.pool
}

func (c *Certs) read() error {
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
	if t == c.content {
		return nil
	}
	p, err := tls.X509KeyPair([]byte(t[0]), []byte(t[1]))
	if err != nil {
		return errors.Wrap(err, c.Certificate.File)
	}
	a := x509.NewCertPool()
	if c.Certificate.AuthorityFile != "" && !a.AppendCertsFromPEM([]byte(t[2])) {
		return errors.Errorf("%s holds no certificate", c.Certificate.AuthorityFile)
	}
	c.content, c.pair, c.pool = t, p, a
	c.Log.Info("certificates read", "File", c.Certificate.File, "NotAfter", p.Leaf.NotAfter)
	return nil
}
