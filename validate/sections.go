package validate

import (
	"encoding/hex"
	"math"
	"net/netip"
	"strings"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/preset"
)

const (
	hashBytes   = 32
	maxRegions  = 255
	notFraction = "must be in 0..1"
	notPositive = "must be above zero"
)

func (k *checker) presets(c *config.Config) {
	s := make(map[string]bool, len(c.Presets))
	for i, p := range c.Presets {
		k.name(s, "Presets", i, p.Name)
		k.preset(i, p)
	}
	if !s[c.Preset] || c.Preset == "" {
		k.add("/Preset", "%q is not one of the presets; exactly one is in force", c.Preset)
	}
}

func (k *checker) preset(i int, p preset.Preset) {
	const l = "Presets"
	k.require(p.ShiftCap > 0 && p.ShiftCap <= 1, l, i, "ShiftCap", "must be above 0 and at most 1")
	k.require(p.ShiftInterval > 0, l, i, "ShiftInterval", notPositive)
	k.require(p.Headroom >= 0 && p.Headroom < 1, l, i, "Headroom", "must be at least 0 and below 1")
	k.require(p.GrowthCap > 0, l, i, "GrowthCap", notPositive)
	k.require(fraction(p.FloorFraction), l, i, "FloorFraction", notFraction)
	k.require(p.MaxWait > 0, l, i, "MaxWait", notPositive)
	k.require(p.LookupTTL > 0, l, i, "LookupTTL", notPositive)
	k.require(fraction(p.RetryBudget), l, i, "RetryBudget", notFraction)
}

func (k *checker) topology(c *config.Config) {
	if len(c.Regions) > maxRegions {
		k.add("/Regions", "at most %d regions", maxRegions)
	}
	for i, r := range c.Regions {
		k.name(k.regions, "Regions", i, r.Name)
	}
	for i, d := range c.Domains {
		k.name(k.domains, "Domains", i, d.Name)
		k.refer(k.regions, "Domains", i, "Region", d.Region)
	}
}

func (k *checker) served(c *config.Config) {
	s := make(map[string]bool, len(c.Services))
	for i, v := range c.Services {
		k.name(k.services, "Services", i, v.Name)
		k.require(strings.HasPrefix(v.Prefix, "/"), "Services", i, "Prefix", "must begin with a slash")
		k.require(!s[v.Prefix], "Services", i, "Prefix", "another service has this prefix")
		k.require(v.Timeout > 0, "Services", i, "Timeout", notPositive)
		k.require(v.AnswerBytes >= 0, "Services", i, "AnswerBytes", "must not be negative")
		s[v.Prefix] = true
	}
}

func (k *checker) backends(c *config.Config) {
	const l = "Backends"
	n := make(map[string]bool, len(c.Backends))
	a := make(map[string]bool, len(c.Backends))
	for i, b := range c.Backends {
		k.name(n, l, i, b.Name)
		k.refer(k.domains, l, i, "Domain", b.Domain)
		k.refer(k.services, l, i, "Service", b.Service)
		p, err := netip.ParseAddrPort(b.Address)
		k.require(err == nil && p.Port() > 0, l, i, "Address", "must be an IP address and a port")
		// Two entries for one server would count its slots twice.
		k.require(!a[b.Address], l, i, "Address", "another backend server has this address")
		k.require(b.Slots > 0, l, i, "Slots", notPositive)
		k.require(b.Connections >= b.Slots, l, i, "Connections", "must be at least Slots")
		k.require(b.WarmUp >= 0, l, i, "WarmUp", "must not be negative")
		a[b.Address] = true
	}
}

func (k *checker) clients(c *config.Config) {
	const l = "Accounts"
	for i, a := range c.Accounts {
		k.name(k.accounts, l, i, a.Name)
		k.require(a.Rate > 0 && !math.IsInf(a.Rate, 0), l, i, "Rate", notPositive)
		k.require(a.Burst >= 1 && !math.IsInf(a.Burst, 0), l, i, "Burst", "must be at least 1, or nothing is admitted")
		k.require(a.Weight >= 0 && !math.IsInf(a.Weight, 0), l, i, "Weight", "must not be negative")
	}
}

func (k *checker) credentials(c *config.Config) {
	s := make(map[string]bool, len(c.Keys)+len(c.Operators))
	for i, v := range c.Keys {
		k.credential(s, "Keys", i, v)
		k.refer(k.accounts, "Keys", i, "Account", v.Account)
	}
	for i, v := range c.Operators {
		k.credential(s, "Operators", i, v)
		k.require(v.Account == "", "Operators", i, "Account", "an operator's key speaks for no client account")
	}
	if len(c.Operators) == 0 {
		k.add("/Operators", "without an operator's key nobody can change the configuration again")
	}
}

func (k *checker) credential(ids map[string]bool, list string, i int, v credential.Credential) {
	k.require(v.ID != "", list, i, "ID", "an id is needed")
	k.require(!ids[v.ID], list, i, "ID", "another key has this id")
	ids[v.ID] = true
	b, err := hex.DecodeString(v.Hash)
	k.require(err == nil && len(b) == hashBytes && v.Hash == strings.ToLower(v.Hash), list, i, "Hash", "must be a SHA-256 in lower-case hex")
	// One key for two client accounts would let one spend the other's rate.
	k.require(!k.hashes[v.Hash], list, i, "Hash", "another entry has the same key")
	k.hashes[v.Hash] = true
}

func (k *checker) steering(c *config.Config) {
	p := make(map[netip.Prefix]bool, len(c.Blocks))
	for i, b := range c.Blocks {
		k.require(b.Prefix.IsValid() && b.Prefix == b.Prefix.Masked(), "Blocks", i, "Prefix", "must be an address range without host bits")
		k.require(!p[b.Prefix], "Blocks", i, "Prefix", "another block has this range")
		k.refer(k.regions, "Blocks", i, "Region", b.Region)
		p[b.Prefix] = true
	}
	s := make(map[[2]string]bool, len(c.Links))
	for i, v := range c.Links {
		k.refer(k.regions, "Links", i, "From", v.From)
		k.refer(k.regions, "Links", i, "To", v.To)
		k.require(v.From != v.To, "Links", i, "To", "a link joins two regions")
		k.require(!s[[2]string{v.From, v.To}], "Links", i, "To", "another link joins these regions")
		k.require(v.BytesPerSecond > 0, "Links", i, "BytesPerSecond", notPositive)
		s[[2]string{v.From, v.To}] = true
	}
}

func (k *checker) promises(c *config.Config) {
	const l = "Objectives"
	s := make(map[string]bool, len(c.Objectives))
	for i, o := range c.Objectives {
		k.refer(k.services, l, i, "Service", o.Service)
		k.require(!s[o.Service], l, i, "Service", "another objective is about this service")
		k.require(o.Latency > 0, l, i, "Latency", notPositive)
		k.require(fraction(o.LatencyFraction), l, i, "LatencyFraction", notFraction)
		k.require(fraction(o.WholeFraction), l, i, "WholeFraction", notFraction)
		k.require(fraction(o.WrongfulFraction), l, i, "WrongfulFraction", notFraction)
		k.require(fraction(o.WorstShare), l, i, "WorstShare", notFraction)
		k.require(fraction(o.Headroom), l, i, "Headroom", notFraction)
		k.require(o.DrainTime >= 0, l, i, "DrainTime", "must not be negative")
		s[o.Service] = true
	}
	v := c.KeyStaleness
	if v.Idempotent <= 0 {
		k.add("/KeyStaleness/Idempotent", notPositive)
	}
	if v.NonIdempotent <= 0 || v.NonIdempotent > v.Idempotent {
		k.add("/KeyStaleness/NonIdempotent", "must be above zero and at most Idempotent")
	}
}
