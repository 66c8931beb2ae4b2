package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/certs"
)

// authority is a certificate authority made in the test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

var serial int64

func newAuthority(t *testing.T) *authority {
	t.Helper()
	c, k := issue(t, nil, &x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return &authority{certificate: c, key: k}
}

func issue(t *testing.T, by *authority, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	serial++
	c.SerialNumber = big.NewInt(serial)
	c.NotBefore = time.Unix(0, 0)
	c.NotAfter = time.Unix(1<<33, 0)
	p, s := c, k
	if by != nil {
		p, s = by.certificate, by.key
	}
	b, err := x509.CreateCertificate(rand.Reader, c, p, &k.PublicKey, s)
	must.NoError(t, err)
	r, err := x509.ParseCertificate(b)
	must.NoError(t, err)
	return r, k
}

// write issues a host's certificate into dir and returns its names.
func (a *authority) write(t *testing.T, dir string) certificate.Certificate {
	t.Helper()
	c, k := issue(t, a, &x509.Certificate{
		Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	b, err := x509.MarshalECPrivateKey(k)
	must.NoError(t, err)
	save := func(name, kind string, b []byte) string {
		f := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(f, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
		return f
	}
	return certificate.Certificate{
		File: save("host.pem", "CERTIFICATE", c.Raw), KeyFile: save("key.pem", "EC PRIVATE KEY", b),
		AuthorityFile: save("authority.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func load(t *testing.T, c clockwork.Clock, f certificate.Certificate) *certs.Certs {
	t.Helper()
	r := &certs.Certs{Clock: c, Log: log.New(io.Discard), Certificate: f}
	must.NoError(t, r.Load())
	return r
}

// pair returns both ends of a connection. A net.Pipe would hang when both ends
// write an alert at once.
func pair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	must.NoError(t, err)
	server, err = l.Accept()
	must.NoError(t, err)
	return server, client
}

// meet makes one handshake and sends one byte and returns both ends'
// errors and the serial of the server's certificate.
func meet(t *testing.T, server, client *tls.Config) (number int64, atServer, atClient error) {
	t.Helper()
	a, b := pair(t)
	x, y := tls.Server(a, server), tls.Client(b, client)
	d := make(chan error, 1)
	go func() {
		defer a.Close()
		err := x.HandshakeContext(context.Background())
		if err == nil {
			_, err = x.Write([]byte{1})
		}
		d <- err
	}()
	_, atClient = y.Read(make([]byte, 1))
	if c := y.ConnectionState().PeerCertificates; len(c) > 0 {
		number = c[0].SerialNumber.Int64()
	}
	_ = b.Close()
	return number, <-d, atClient
}

// A stranger reaches the address for hosts: without a certificate, or with one
// of an authority of its own. It gets not one byte, and a host does not talk
// to a stranger that listens at another host's address either.
func TestStrangerGetsNothing(t *testing.T) {
	c := clockwork.NewFakeClock()
	a, b := newAuthority(t), newAuthority(t)
	h := load(t, c, a.write(t, t.TempDir()))
	s := load(t, c, b.write(t, t.TempDir()))
	_, e, f := meet(t, h.Mutual(), h.Client("127.0.0.1"))
	must.NoError(t, e)
	must.NoError(t, f)
	bare := h.Client("127.0.0.1")
	bare.Certificates = nil
	_, e, f = meet(t, h.Mutual(), bare)
	must.Error(t, e)
	must.Error(t, f)
	forged := s.Client("127.0.0.1")
	forged.RootCAs = bare.RootCAs
	_, e, f = meet(t, h.Mutual(), forged)
	must.Error(t, e)
	must.Error(t, f)
	_, _, f = meet(t, s.Mutual(), h.Client("127.0.0.1"))
	must.Error(t, f)
	_, _, f = meet(t, h.Mutual(), h.Client("127.0.0.2"))
	must.Error(t, f)
}

// A certificate is renewed while the process runs. Between the writing of the
// certificate and of its key the two do not fit: the former pair goes on, and
// the new one is used once both are there.
func TestRenewal(t *testing.T) {
	c := clockwork.NewFakeClock()
	a := newAuthority(t)
	d := t.TempDir()
	h := load(t, c, a.write(t, d))
	one, _, err := meet(t, h.Server(), h.Client("127.0.0.1"))
	must.NoError(t, err)
	other := a.write(t, t.TempDir())
	copyFile(t, other.File, filepath.Join(d, "host.pem"))
	c.Advance(time.Minute)
	two, _, err := meet(t, h.Server(), h.Client("127.0.0.1"))
	must.NoError(t, err)
	must.Eq(t, one, two)
	copyFile(t, other.KeyFile, filepath.Join(d, "key.pem"))
	c.Advance(time.Minute)
	three, _, err := meet(t, h.Server(), h.Client("127.0.0.1"))
	must.NoError(t, err)
	must.NotEq(t, one, three)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(to, b, 0o600))
}
