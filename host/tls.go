package host

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/certreloader"
)

// listeners accept the connections to a host. TLS of callers and operators is added by
// their HTTP servers, that of peers is part of the listener.
type listeners struct {
	callers, peers, operators net.Listener
	callerTLS, operatorTLS    *tls.Config
}

// addTLS adds TLS where the settings name certificates.
func (h *Host) addTLS(l *listeners) error {
	s := h.Settings
	if s.CallerTLS != nil {
		x, err := h.loadCerts("CallerTLS", *s.CallerTLS)
		if err != nil {
			return err
		}
		l.callerTLS = x.ServerConfig()
	}
	if s.OperatorTLS != nil {
		x, err := h.loadCerts("OperatorTLS", *s.OperatorTLS)
		if err != nil {
			return err
		}
		l.operatorTLS = x.ServerConfig()
	}
	if s.PeerTLS != nil {
		x, err := h.loadCerts("PeerTLS", *s.PeerTLS)
		if err != nil {
			return err
		}
		h.peerCerts = x
		l.peers = tls.NewListener(l.peers, x.MutualConfig())
	}
	return nil
}

func (h *Host) loadCerts(field string, f certificate.Certificate) (*certreloader.Certreloader, error) {
	c := &certreloader.Certreloader{Clock: h.Clock, Log: h.Log, Certificate: f}
	return c, errors.Wrap(c.Load(), field)
}

// dialPeer opens a connection to another host. With PeerTLS, both sides
// authenticate each other as hosts.
func (h *Host) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	n, err := h.Dial(ctx, address)
	if err != nil || h.peerCerts == nil {
		return n, err
	}
	a, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	x, f := context.WithTimeout(ctx, dialTimeout)
	defer f()
	c := tls.Client(n, h.peerCerts.ClientConfig(a))
	if err := c.HandshakeContext(x); err != nil {
		_ = n.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return c, nil
}
