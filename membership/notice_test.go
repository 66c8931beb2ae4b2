package membership_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/logbuffer"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// Heartbeats from two peers stop. This host still sends heartbeats to the peer
// a-near and receives no replies: this peer is silent, and on-call engineers
// have to look for it. The peer far works normally and has only selected other
// heartbeat peers.
func TestPeersWithOtherPartnersAreNotSilent(t *testing.T) {
	c := clockwork.NewFakeClock()
	b := new(logbuffer.Logbuffer)
	m := newMembership(c)
	m.Log = log.New(b)
	m.SelectPeers = func(_ member.Member, l []member.Member, _ func(string) bool) []member.Member {
		return l[:1] // sorted by name, so this is a-near
	}
	m.SendHeartbeat = func(context.Context, string, *wire.Heartbeat) (*wire.Heartbeat, error) { return nil, io.EOF }
	m.Receive(newHeartbeat("far", 1, 1))
	m.Receive(newHeartbeat("a-near", 2, 1))
	x, f := context.WithCancel(t.Context())
	d := make(chan error)
	go func() { d <- m.Run(x) }()
	for !strings.Contains(b.String(), "peer silent") || !strings.Contains(b.String(), "other partners") {
		must.NoError(t, c.BlockUntilContext(t.Context(), 1))
		c.Advance(interval)
	}
	f()
	must.NoError(t, <-d)
	must.StrContains(t, b.String(), "peer silent Host=a-near")
	must.StrContains(t, b.String(), "peer has other partners Host=far")
}
