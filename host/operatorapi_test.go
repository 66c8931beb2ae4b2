package host

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/wire"
)

// A host that is cut off must be named as missing, since a key that is withdrawn in the
// meantime still works there: the operator's command confirms a withdrawal when every
// host that the status names has it. This holds too when the platform's list of hosts
// cannot be read or no longer contains the host, and when the host was never heard. Only
// a host that announced its shutdown is not named.
func TestCutOffHostIsMissing(t *testing.T) {
	type list func(ctx context.Context) ([]member.Member, error)
	r := member.Member{Name: "remote", Incarnation: 2, Domain: "b", PeerAddress: "remote:1", OperatorAddress: "remote:2"}
	listed := func(context.Context) ([]member.Member, error) { return []member.Member{r}, nil }
	empty := func(context.Context) ([]member.Member, error) { return nil, nil }
	failing := func(context.Context) ([]member.Member, error) { return nil, errors.New("outage") }
	slow := func(ctx context.Context) ([]member.Member, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, v := range []struct {
		name           string
		heard, leaving bool
		before, after  list
		want           []member.Member
	}{
		{name: "listed", heard: true, before: listed, after: listed, want: []member.Member{r}},
		{name: "list fails", heard: true, before: empty, after: failing, want: []member.Member{r}},
		{name: "list slow", heard: true, before: empty, after: slow, want: []member.Member{r}},
		{name: "dropped from the list", heard: true, before: listed, after: empty, want: []member.Member{r}},
		{name: "never heard", before: listed, after: listed, want: []member.Member{r}},
		{name: "never heard, list fails", before: listed, after: failing, want: []member.Member{r}},
		{name: "never heard, list slow", before: listed, after: slow, want: []member.Member{r}},
		{name: "shut down", heard: true, leaving: true, before: empty, after: empty},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var read atomic.Pointer[list]
				read.Store(&v.before)
				x := isolatedHost(func(ctx context.Context) ([]member.Member, error) { return (*read.Load())(ctx) })
				c, f := context.WithCancel(t.Context())
				d := make(chan error)
				go func() { d <- x.membership.Run(c) }()
				if v.heard {
					x.membership.Receive(&wire.Heartbeat{Sequence: 1, From: &wire.Host{
						Name: r.Name, Incarnation: r.Incarnation, Domain: r.Domain, PeerAddress: r.PeerAddress,
						OperatorAddress: r.OperatorAddress, Leaving: v.leaving,
					}})
				}
				synctest.Wait()
				read.Store(&v.after)
				x.host.Clock.Sleep(2 * x.host.Settings.Hold)
				s := x.status(c)
				test.SliceEmpty(t, s.Peers)
				test.Eq(t, v.want, s.Missing)
				f()
				must.NoError(t, <-d)
				x.peerClient.Close()
			})
		})
	}
}

// isolatedHost returns the components of a host that reaches no other host.
func isolatedHost(hosts func(ctx context.Context) ([]member.Member, error)) *components {
	s := settings.Default()
	s.Name, s.Domain, s.PeerAddress = "local", "a", "local:1"
	h := &Host{
		Settings: s, Store: store.Store{Hosts: hosts}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Incarnation: 1,
		Dial:    func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut off") },
		Counter: new(counter.Counter),
	}
	return h.newComponents()
}
