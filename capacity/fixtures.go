package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blocktable"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/limitpart"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/span"
	"celeryreach.example/celeryreach/wire"
)

const (
	holdTime          = 3 * time.Second
	heartbeatInterval = 200 * time.Millisecond
	// serviceCount is the number of services in the fixtures.
	serviceCount = 3
	// keysPerAccount allows for a key in use and its replacement.
	keysPerAccount = 2
)

func mustMarshal(v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // all fixture values can be encoded as JSON
	}
	return b
}

// newHeartbeat returns a heartbeat that lists the given number of peers and the
// demand of the given number of accounts.
func newHeartbeat(peers, accounts int) *wire.Heartbeat {
	h := &wire.Heartbeat{Protocol: 1, From: newHost(0), Sequence: 1 << 20, KeyAgeNanoseconds: 1, KnownDigest: 1 << 63, HasDigest: 1 << 63}
	for _, k := range []string{"Config", "Plan", "Division"} {
		h.Versions = append(h.Versions, &wire.Version{Kind: k, Version: 1 << 20, Hash: acceptedversion.Short(credential.Hash(k))})
	}
	for i := range serviceCount {
		h.Loads = append(h.Loads, &wire.Load{
			Service: fmt.Sprint("service-", i), Slots: 60, Busy: 30, Waiting: 3,
			Answers: 1 << 30, Failures: 1 << 10, AnswerNanoseconds: 1 << 50,
		})
	}
	for i := range peers {
		h.Known = append(h.Known, newHost(i))
	}
	for i := range accounts {
		h.Demands = append(h.Demands, &wire.Demand{Account: accountName(i), Rate: 12.5})
	}
	return h
}

func accountName(i int) string {
	return fmt.Sprint("account-", i)
}

func newHost(i int) *wire.Host {
	m := newMember(i)
	return &wire.Host{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress, OperatorAddress: m.OperatorAddress,
	}
}

func newMember(i int) member.Member {
	a := netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}).String()
	return member.Member{
		Name: fmt.Sprintf("domain-%d-host-%d", i%27, i), Incarnation: 1<<63 + uint64(i),
		Domain: fmt.Sprint("domain-", i%27), Region: fmt.Sprint("region-", i%9),
		CallerAddress: a + ":7000", PeerAddress: a + ":7001", OperatorAddress: a + ":7002",
	}
}

func newHolder(i int) holder.Holder {
	m := newMember(i)
	return holder.Holder{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region}
}

// newDivision returns a division with n parts: n/10 accounts, each divided among ten
// holders.
func newDivision(n int) *division.Division {
	const holders = 10
	d := &division.Division{Epoch: 1, Author: newHolder(0).Name, Parts: make(map[string]map[string]limitpart.Limitpart), FloorFraction: 0.5}
	for i := range holders {
		d.Holders = append(d.Holders, newHolder(i))
		d.Floors = append(d.Floors, newHolder(i).Domain)
	}
	for i := range max(1, n/holders) {
		m := make(map[string]limitpart.Limitpart, holders)
		for j, h := range d.Holders {
			m[h.Name] = limitpart.Limitpart{
				Floor:  []span.Span{{From: uint32(j * 1000), To: uint32(j*1000 + 500)}},
				Leased: []span.Span{{From: uint32(j*1000 + 500), To: uint32(j*1000 + 1000)}},
			}
		}
		d.Parts[division.RatePrefix+accountName(i)] = m
	}
	return d
}

func newConfig(n int) *config.Config {
	c := &config.Config{Version: 1, Preset: "Ordinary", Presets: []preset.Preset{{Name: "Ordinary", MaxWait: time.Second, LookupTTL: time.Minute}}}
	for i := range 9 {
		c.Regions = append(c.Regions, region.Region{Name: fmt.Sprint("region-", i)})
	}
	for i := range serviceCount {
		n := fmt.Sprint("service-", i)
		c.Services = append(c.Services, service.Service{Name: n, Prefix: "/" + n + "/", Timeout: time.Second})
	}
	for i := range n {
		a := accountName(i)
		c.Accounts = append(c.Accounts, account.Account{Name: a, Rate: 10, Burst: 5})
		for j := range keysPerAccount {
			k := fmt.Sprintf("%s-%d", a, j)
			c.Keys = append(c.Keys, credential.Credential{ID: k, Account: a, Hash: credential.Hash(k)})
		}
	}
	return c
}

func newBlocks(n int) *blocktable.Blocktable {
	l := make([]block.Block, n)
	for i := range l {
		l[i] = newBlock(i)
	}
	t := new(blocktable.Blocktable)
	if err := t.Replace(l); err != nil {
		panic(err) // generated blocks are valid
	}
	return t
}

// newBlock returns the i-th client block, a /24. Consecutive blocks are spread over
// the address space.
func newBlock(i int) block.Block {
	p, err := blockAddress(i).Prefix(24)
	if err != nil {
		panic(err) // 24 bits fit an IPv4 address
	}
	return block.Block{Prefix: p, Region: fmt.Sprint("region-", i%9)}
}

func blockAddress(i int) netip.Addr {
	// Multiplying by an odd factor modulo 2^24 gives each i below 2^24 its own /24.
	n := uint32(i) * 2654435 % (1 << 24)
	return netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 1})
}

func newRecord(answer int) record.Record {
	return record.Record{
		Attempt: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Host: "domain-1-host-1", Incarnation: 1 << 63,
		Digest: credential.Hash(""), State: record.Done, Status: 200, Body: make([]byte, answer),
	}
}
