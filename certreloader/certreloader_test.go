package certreloader_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/certreloader"
	"celeryreach.example/celeryreach/testca"
)

func newAuthority(t *testing.T) *testca.Testca {
	t.Helper()
	a, err := testca.New()
	must.NoError(t, err)
	return a
}

func write(t *testing.T, a *testca.Testca, dir string) certificate.Certificate {
	t.Helper()
	f, err := a.Write(dir)
	must.NoError(t, err)
	return f
}

func load(t *testing.T, c clockwork.Clock, f certificate.Certificate) *certreloader.Certreloader {
	t.Helper()
	r := &certreloader.Certreloader{Clock: c, Log: log.New(io.Discard), Certificate: f}
	must.NoError(t, r.Load())
	return r
}

// pair returns both ends of a TCP connection. A net.Pipe would block when both ends
// write an alert at the same time.
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

// handshake performs one TLS handshake and transfers one byte. It returns the serial
// number of the server's certificate and the errors of both ends.
func handshake(t *testing.T, server, client *tls.Config) (number int64, atServer, atClient error) {
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

// Guards against an untrusted client at the address for hosts. A client without a
// certificate or with a certificate of another authority must not receive a single
// byte. A host must also reject an untrusted server at another host's address.
func TestUntrustedPeerIsRejected(t *testing.T) {
	c := clockwork.NewFakeClock()
	a, b := newAuthority(t), newAuthority(t)
	h := load(t, c, write(t, a, t.TempDir()))
	s := load(t, c, write(t, b, t.TempDir()))
	_, e, f := handshake(t, h.MutualConfig(), h.ClientConfig("127.0.0.1"))
	must.NoError(t, e)
	must.NoError(t, f)
	bare := h.ClientConfig("127.0.0.1")
	bare.Certificates = nil
	_, e, f = handshake(t, h.MutualConfig(), bare)
	must.Error(t, e)
	must.Error(t, f)
	forged := s.ClientConfig("127.0.0.1")
	forged.RootCAs = bare.RootCAs
	_, e, f = handshake(t, h.MutualConfig(), forged)
	must.Error(t, e)
	must.Error(t, f)
	_, _, f = handshake(t, s.MutualConfig(), h.ClientConfig("127.0.0.1"))
	must.Error(t, f)
	_, _, f = handshake(t, h.MutualConfig(), h.ClientConfig("127.0.0.2"))
	must.Error(t, f)
}

// Guards against failed handshakes while a certificate is renewed. Between the writing
// of the certificate and of its key the two do not match: the previous pair must stay
// in use until both are written.
func TestRenewal(t *testing.T) {
	c := clockwork.NewFakeClock()
	a := newAuthority(t)
	d := t.TempDir()
	h := load(t, c, write(t, a, d))
	one, _, err := handshake(t, h.ServerConfig(), h.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	other := write(t, a, t.TempDir())
	copyFile(t, other.File, filepath.Join(d, "host.pem"))
	c.Advance(time.Minute)
	two, _, err := handshake(t, h.ServerConfig(), h.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	must.Eq(t, one, two)
	copyFile(t, other.KeyFile, filepath.Join(d, "key.pem"))
	c.Advance(time.Minute)
	three, _, err := handshake(t, h.ServerConfig(), h.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	must.NotEq(t, one, three)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(to, b, 0o600))
}
