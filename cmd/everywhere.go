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
	waitEvery  = 100 * time.Millisecond
	askTimeout = 2 * time.Second
)

// place is one host's answer to which version it has in force.
type place struct {
	// Host is the host.
	Host string
	// Version is the version in force, zero when it did not answer.
	Version uint64
	// Error says why it did not answer.
	Error string `json:",omitzero"`
}

// state is one host's answer to a question for its state.
type state struct {
	member member.Member
	status status.Status
	err    error
}

// states asks every host that the first one knows of, directly: what a peer
// has heard of a host is older than what the host says itself.
func (n *connection) states(ctx context.Context) ([]state, error) {
	s, err := n.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	r := []state{{member: s.Host, status: s}}
	m := append(append([]member.Member(nil), s.Peers...), s.Missing...)
	c := make(chan state)
	for _, v := range m {
		go func() {
			t, err := n.at(v).Status(ctx)
			c <- state{member: v, status: t, err: err}
		}()
	}
	for range m {
		r = append(r, <-c)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].member.Name < r[j].member.Name })
	return r, nil
}

// at returns a client of another host with the same key and scheme.
func (n *connection) at(m member.Member) *operatorclient.Operatorclient {
	o := *n.client
	o.Timeout = askTimeout
	if u, err := url.Parse(o.URL); err == nil {
		u.Host = m.OperatorAddress
		o.URL = u.String()
	}
	return &o
}

// everywhere waits until version is in force on every host.
func (m *Cmd) everywhere(ctx context.Context, n *connection, version uint64, d time.Duration) (hosts []place, all bool) {
	x, f := context.WithTimeout(ctx, d)
	defer f()
	for {
		// A round that is begun is finished: an answer that the end of the wait
		// cut off would look like a silent host.
		s, err := n.states(ctx)
		if err == nil || hosts == nil {
			hosts, all = inForce(s, version, err)
		}
		if all {
			return hosts, true
		}
		select {
		case <-x.Done():
			return hosts, false
		case <-m.Clock.After(waitEvery):
		}
	}
}

func inForce(s []state, version uint64, err error) (hosts []place, all bool) {
	if err != nil {
		return []place{{Error: err.Error()}}, false
	}
	all = true
	for _, v := range s {
		p := place{Host: v.member.Name, Version: v.status.ConfigVersion}
		if v.err != nil {
			p.Error = v.err.Error()
		}
		hosts = append(hosts, p)
		all = all && v.err == nil && p.Version >= version
	}
	return hosts, all
}

func (m *Cmd) places(version uint64, hosts []place) {
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
