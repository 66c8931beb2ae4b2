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

// Two hosts are heard for a while, and then no more. This one goes on sending
// heartbeats to the first, which does not answer: it is silent, and on-call engineers
// look for it. The other one has only chosen other partners, and is well.
func TestPeersWithOtherPartnersAreNotSilent(t *testing.T) {
	c := clockwork.NewFakeClock()
	b := new(logbuffer.Logbuffer)
	m := newMembership(c)
	m.Log = log.New(b)
	m.Partners = func(_ member.Member, l []member.Member, _ func(string) bool) []member.Member {
		return l[:1] // in the order of names, the near one
	}
	m.Beat = func(context.Context, string, *wire.Heartbeat) (*wire.Heartbeat, error) { return nil, io.EOF }
	m.Receive(beat("far", 1, 1))
	m.Receive(beat("a-near", 2, 1))
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
