package settings

import (
	"net/netip"
	"net/url"
	"strconv"

	"celeryreach.example/celeryreach/certificate"
)

// minHeartbeatsPerHold is the minimum number of heartbeat intervals in Hold. With
// fewer, a single lost heartbeat makes a live peer count as silent.
const minHeartbeatsPerHold = 3

// Check returns all invalid and contradictory settings, each as the field's JSON
// pointer, a colon and the reason.
func (s *Settings) Check() []string {
	k := new(checker)
	for _, f := range [][2]string{{"/Name", s.Name}, {"/Domain", s.Domain}, {"/Region", s.Region}} {
		k.require(f[1] != "", f[0], "must be set")
	}
	k.checkAddresses(s)
	u, err := url.Parse(s.PlatformURL)
	k.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "/PlatformURL", "must be an http or https URL")
	k.require(s.Heartbeat > 0, "/Heartbeat", "must be above zero")
	k.require(s.Hold >= minHeartbeatsPerHold*s.Heartbeat, "/Hold", "must be at least "+strconv.Itoa(minHeartbeatsPerHold)+" times Heartbeat")
	k.require(s.DrainTimeout > 0, "/DrainTimeout", "must be above zero")
	k.checkCertificate("/CallerTLS", s.CallerTLS, false)
	k.checkCertificate("/PeerTLS", s.PeerTLS, true)
	k.checkCertificate("/OperatorTLS", s.OperatorTLS, false)
	return k.mistakes
}

type checker struct {
	mistakes []string
}

func (k *checker) require(ok bool, field, reason string) {
	if !ok {
		k.mistakes = append(k.mistakes, field+": "+reason)
	}
}

func (k *checker) checkAddresses(s *Settings) {
	n := make(map[string]bool)
	for _, f := range [][2]string{
		{"/CallerAddress", s.CallerAddress}, {"/PeerAddress", s.PeerAddress}, {"/OperatorAddress", s.OperatorAddress},
	} {
		k.checkAddress(f[0], f[1])
		k.require(!n[f[1]] || f[1] == "", f[0], "another field has this address")
		n[f[1]] = true
	}
	for i, a := range s.Peers {
		k.checkAddress("/Peers/"+strconv.Itoa(i), a)
	}
}

// checkAddress also rejects unspecified addresses, because a host announces the
// address that it listens on to callers and peers.
func (k *checker) checkAddress(field, a string) {
	p, err := netip.ParseAddrPort(a)
	k.require(err == nil && p.Port() > 0 && !p.Addr().IsUnspecified(), field, "must be the host's own IP address and a port")
}

func (k *checker) checkCertificate(field string, c *certificate.Certificate, mutual bool) {
	if c == nil {
		return
	}
	k.require(c.File != "", field+"/File", "must be set")
	k.require(c.KeyFile != "", field+"/KeyFile", "must be set")
	if mutual {
		k.require(c.AuthorityFile != "", field+"/AuthorityFile", "must be set: without it a stranger is taken for a host")
		return
	}
	k.require(c.AuthorityFile == "", field+"/AuthorityFile", "only hosts show certificates; callers and operators show keys")
	k.require(c.ServerName == "", field+"/ServerName", "only hosts use it")
}
