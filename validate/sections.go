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
	keyHashBytes   = 32
	maxRegions     = 255
	mustBeFraction = "must be in 0..1"
	mustBePositive = "must be above zero"
)

func (k *checker) checkPresets(c *config.Config) {
	s := make(map[string]bool, len(c.Presets))
	for i, p := range c.Presets {
		k.checkName(s, "Presets", i, p.Name)
		k.checkPreset(i, p)
	}
	if !s[c.Preset] || c.Preset == "" {
		k.addMistake("/Preset", "%q is not one of the presets; exactly one is in force", c.Preset)
	}
}

func (k *checker) checkPreset(i int, p preset.Preset) {
	const l = "Presets"
	k.require(p.ShiftCap > 0 && p.ShiftCap <= 1, l, i, "ShiftCap", "must be above 0 and at most 1")
	k.require(p.ShiftInterval > 0, l, i, "ShiftInterval", mustBePositive)
	k.require(p.Headroom >= 0 && p.Headroom < 1, l, i, "Headroom", "must be at least 0 and below 1")
	k.require(p.GrowthCap > 0, l, i, "GrowthCap", mustBePositive)
	k.require(isFraction(p.FloorFraction), l, i, "FloorFraction", mustBeFraction)
	k.require(p.MaxWait > 0, l, i, "MaxWait", mustBePositive)
	k.require(p.LookupTTL > 0, l, i, "LookupTTL", mustBePositive)
	k.require(isFraction(p.RetryBudget), l, i, "RetryBudget", mustBeFraction)
}

func (k *checker) checkTopology(c *config.Config) {
	if len(c.Regions) > maxRegions {
		k.addMistake("/Regions", "at most %d regions", maxRegions)
	}
	for i, r := range c.Regions {
		k.checkName(k.regions, "Regions", i, r.Name)
	}
	for i, d := range c.Domains {
		k.checkName(k.domains, "Domains", i, d.Name)
		k.checkReference(k.regions, "Domains", i, "Region", d.Region)
	}
}

func (k *checker) checkServices(c *config.Config) {
	s := make(map[string]bool, len(c.Services))
	for i, v := range c.Services {
		k.checkName(k.services, "Services", i, v.Name)
		k.require(strings.HasPrefix(v.Prefix, "/"), "Services", i, "Prefix", "must begin with a slash")
		k.require(!s[v.Prefix], "Services", i, "Prefix", "another service has this prefix")
		k.require(v.Timeout > 0, "Services", i, "Timeout", mustBePositive)
		k.require(v.AnswerBytes >= 0, "Services", i, "AnswerBytes", "must not be negative")
		s[v.Prefix] = true
	}
}

func (k *checker) checkBackends(c *config.Config) {
	const l = "Backends"
	n := make(map[string]bool, len(c.Backends))
	a := make(map[string]bool, len(c.Backends))
	for i, b := range c.Backends {
		k.checkName(n, l, i, b.Name)
		k.checkReference(k.domains, l, i, "Domain", b.Domain)
		k.checkReference(k.services, l, i, "Service", b.Service)
		p, err := netip.ParseAddrPort(b.Address)
		k.require(err == nil && p.Port() > 0, l, i, "Address", "must be an IP address and a port")
		// Two entries for one server would count its slots twice.
		k.require(!a[b.Address], l, i, "Address", "another backend server has this address")
		k.require(b.Slots > 0, l, i, "Slots", mustBePositive)
		k.require(b.Connections >= b.Slots, l, i, "Connections", "must be at least Slots")
		k.require(b.WarmUp >= 0, l, i, "WarmUp", "must not be negative")
		a[b.Address] = true
	}
}

func (k *checker) checkAccounts(c *config.Config) {
	const l = "Accounts"
	for i, a := range c.Accounts {
		k.checkName(k.accounts, l, i, a.Name)
		k.require(a.Rate > 0 && !math.IsInf(a.Rate, 0), l, i, "Rate", mustBePositive)
		k.require(a.Burst >= 1 && !math.IsInf(a.Burst, 0), l, i, "Burst", "must be at least 1, or nothing is admitted")
		k.require(a.Weight >= 0 && !math.IsInf(a.Weight, 0), l, i, "Weight", "must not be negative")
	}
}

func (k *checker) checkCredentials(c *config.Config) {
	s := make(map[string]bool, len(c.Keys)+len(c.Operators))
	for i, v := range c.Keys {
		k.checkCredential(s, "Keys", i, v)
		k.checkReference(k.accounts, "Keys", i, "Account", v.Account)
	}
	for i, v := range c.Operators {
		k.checkCredential(s, "Operators", i, v)
		k.require(v.Account == "", "Operators", i, "Account", "an operator's key speaks for no client account")
	}
	if len(c.Operators) == 0 {
		k.addMistake("/Operators", "without an operator's key nobody can change the configuration again")
	}
}

func (k *checker) checkCredential(ids map[string]bool, list string, i int, v credential.Credential) {
	k.require(v.ID != "", list, i, "ID", "an id is needed")
	k.require(!ids[v.ID], list, i, "ID", "another key has this id")
	ids[v.ID] = true
	b, err := hex.DecodeString(v.Hash)
	k.require(err == nil && len(b) == keyHashBytes && v.Hash == strings.ToLower(v.Hash), list, i, "Hash", "must be a SHA-256 in lower-case hex")
	// If two client accounts had the same key, one could use up the other's rate.
	k.require(!k.keyHashes[v.Hash], list, i, "Hash", "another entry has the same key")
	k.keyHashes[v.Hash] = true
}

func (k *checker) checkBlocksAndLinks(c *config.Config) {
	p := make(map[netip.Prefix]bool, len(c.Blocks))
	for i, b := range c.Blocks {
		k.require(b.Prefix.IsValid() && b.Prefix == b.Prefix.Masked(), "Blocks", i, "Prefix", "must be an address range without host bits")
		k.require(!p[b.Prefix], "Blocks", i, "Prefix", "another block has this range")
		k.checkReference(k.regions, "Blocks", i, "Region", b.Region)
		p[b.Prefix] = true
	}
	s := make(map[[2]string]bool, len(c.Links))
	for i, v := range c.Links {
		k.checkReference(k.regions, "Links", i, "From", v.From)
		k.checkReference(k.regions, "Links", i, "To", v.To)
		k.require(v.From != v.To, "Links", i, "To", "a link joins two regions")
		k.require(!s[[2]string{v.From, v.To}], "Links", i, "To", "another link joins these regions")
		k.require(v.BytesPerSecond > 0, "Links", i, "BytesPerSecond", mustBePositive)
		s[[2]string{v.From, v.To}] = true
	}
}

func (k *checker) checkObjectives(c *config.Config) {
	const l = "Objectives"
	s := make(map[string]bool, len(c.Objectives))
	for i, o := range c.Objectives {
		k.checkReference(k.services, l, i, "Service", o.Service)
		k.require(!s[o.Service], l, i, "Service", "another objective is about this service")
		k.require(o.Latency > 0, l, i, "Latency", mustBePositive)
		k.require(isFraction(o.LatencyFraction), l, i, "LatencyFraction", mustBeFraction)
		k.require(isFraction(o.WholeFraction), l, i, "WholeFraction", mustBeFraction)
		k.require(isFraction(o.WrongfulFraction), l, i, "WrongfulFraction", mustBeFraction)
		k.require(isFraction(o.WorstShare), l, i, "WorstShare", mustBeFraction)
		k.require(isFraction(o.Headroom), l, i, "Headroom", mustBeFraction)
		k.require(o.DrainTime >= 0, l, i, "DrainTime", "must not be negative")
		s[o.Service] = true
	}
	v := c.KeyStaleness
	if v.Idempotent <= 0 {
		k.addMistake("/KeyStaleness/Idempotent", mustBePositive)
	}
	if v.NonIdempotent <= 0 || v.NonIdempotent > v.Idempotent {
		k.addMistake("/KeyStaleness/NonIdempotent", "must be above zero and at most Idempotent")
	}
}
