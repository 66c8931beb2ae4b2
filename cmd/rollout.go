package cmd

import (
	"context"
	"net/url"
	"sort"
	"time"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/operatorclient"
	"celeryreach.example/celeryreach/status"
)

const (
	rolloutPollInterval = 100 * time.Millisecond
	statusTimeout       = 2 * time.Second
)

// hostVersion is the version of the configuration that one host has in force.
type hostVersion struct {
	// Host is the name of the host.
	Host string
	// Version is the version in force, or zero if the host did not respond.
	Version uint64
	// Error is the reason why the host did not respond.
	Error string `json:",omitzero"`
}

// hostState is the response of one host to a status request.
type hostState struct {
	member member.Member
	status status.Status
	err    error
}

// hostStates requests the status of the connected host and of every host that this
// status lists. It queries each host directly, because a peer's view of a host is
// older than the status from the host itself.
func (n *connection) hostStates(ctx context.Context) ([]hostState, error) {
	s, err := n.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	r := []hostState{{member: s.Host, status: s}}
	m := append(append([]member.Member(nil), s.Peers...), s.Missing...)
	c := make(chan hostState)
	for _, v := range m {
		go func() {
			t, err := n.clientFor(v).Status(ctx)
			c <- hostState{member: v, status: t, err: err}
		}()
	}
	for range m {
		r = append(r, <-c)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].member.Name < r[j].member.Name })
	return r, nil
}

// clientFor returns a client for another host that uses the same key and scheme.
func (n *connection) clientFor(m member.Member) *operatorclient.Operatorclient {
	o := *n.client
	o.Timeout = statusTimeout
	if u, err := url.Parse(o.URL); err == nil {
		u.Host = m.OperatorAddress
		o.URL = u.String()
	}
	return &o
}

// awaitRollout waits until version is in force on every host, for at most d.
func (m *Cmd) awaitRollout(ctx context.Context, n *connection, version uint64, d time.Duration) (hosts []hostVersion, all bool) {
	x, f := context.WithTimeout(ctx, d)
	defer f()
	for {
		// The status requests use ctx instead of x, so that they complete after the
		// wait has expired: a canceled request would make its host appear unresponsive.
		s, err := n.hostStates(ctx)
		if err == nil || hosts == nil {
			hosts, all = rolloutState(s, version, err)
		}
		if all {
			return hosts, true
		}
		select {
		case <-x.Done():
			return hosts, false
		case <-m.Clock.After(rolloutPollInterval):
		}
	}
}

// rolloutState returns the version of each host, and whether every host responded
// and has version in force.
func rolloutState(s []hostState, version uint64, err error) (hosts []hostVersion, all bool) {
	if err != nil {
		return []hostVersion{{Error: err.Error()}}, false
	}
	all = true
	for _, v := range s {
		p := hostVersion{Host: v.member.Name, Version: v.status.ConfigVersion}
		if v.err != nil {
			p.Error = v.err.Error()
		}
		hosts = append(hosts, p)
		all = all && v.err == nil && p.Version >= version
	}
	return hosts, all
}

// writeHostVersions prints on how many hosts version is in force, and the hosts on
// which it is not.
func (m *Cmd) writeHostVersions(version uint64, hosts []hostVersion) {
	if hosts == nil {
		return
	}
	n := 0
	for _, h := range hosts {
		if h.Version >= version {
			n++
		}
	}
	m.printf("in force on %d of %d hosts\n", n, len(hosts))
	for _, h := range hosts {
		switch {
		case h.Error != "":
			m.printf("  %s did not answer: %s\n", h.Host, h.Error)
		case h.Version < version:
			m.printf("  %s still has version %d\n", h.Host, h.Version)
		}
	}
}
