// Package testca issues certificates for tests.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
)

// Testca is a certificate authority for one test.
type Testca struct {
	authority *x509.Certificate
	key       *ecdsa.PrivateKey
	serial    int64
}

// New creates a certificate authority.
func New() (*Testca, error) {
	t := new(Testca)
	c, k, err := t.issue(&x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	t.authority, t.key = c, k
	return t, err
}

// Pool returns a certificate pool that contains the authority.
func (t *Testca) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(t.authority)
	return p
}

// Write issues a certificate for 127.0.0.1, writes it to dir with its key and
// the authority's certificate, and returns the file names.
func (t *Testca) Write(dir string) (certificate.Certificate, error) {
	var f certificate.Certificate
	c, k, err := t.issue(&x509.Certificate{
		Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return f, err
	}
	b, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return f, errors.Wrap(err, "marshal key")
	}
	f = certificate.Certificate{
		File: filepath.Join(dir, "host.pem"), KeyFile: filepath.Join(dir, "key.pem"), AuthorityFile: filepath.Join(dir, "authority.pem"),
	}
	for _, p := range []struct {
		file, kind string
		content    []byte
	}{{f.File, "CERTIFICATE", c.Raw}, {f.KeyFile, "EC PRIVATE KEY", b}, {f.AuthorityFile, "CERTIFICATE", t.authority.Raw}} {
		if err := os.WriteFile(p.file, pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.content}), 0o600); err != nil {
			return f, errors.Wrap(err, "write certificate file")
		}
	}
	return f, nil
}

func (t *Testca) issue(c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	t.serial++
	c.SerialNumber = big.NewInt(t.serial)
	c.NotBefore = time.Unix(0, 0)
	c.NotAfter = time.Unix(1<<33, 0)
	p, s := c, k
	if t.authority != nil {
		p, s = t.authority, t.key
	}
	b, err := x509.CreateCertificate(rand.Reader, c, p, &k.PublicKey, s)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create certificate")
	}
	r, err := x509.ParseCertificate(b)
	return r, k, errors.Wrap(err, "parse certificate")
}
