// Package config describes the configuration that operators accept and every
// host follows.
package config

import (
	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/entrylimit"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/link"
	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

// Config is one accepted version of the configuration. A Config is never
// changed after it was published; a change makes a new one.
type Config struct {
	// Version grows by one with each accepted change. Hosts apply only higher
	// versions than the one they have.
	Version uint64
	// Preset names the preset in force.
	Preset string
	// Presets are the sets of policy to choose from.
	Presets []preset.Preset
	// Regions are the regions.
	Regions []region.Region
	// Domains are the failure domains.
	Domains []domain.Domain
	// Services are the routes callers ask for.
	Services []service.Service
	// Backends are the backend servers.
	Backends []backend.Backend
	// Accounts are the client accounts.
	Accounts []account.Account
	// Keys are the keys of client accounts that work. Withdrawing removes.
	Keys []credential.Credential
	// Operators are the keys of operators.
	Operators []credential.Credential
	// Blocks are the client blocks that small deployments list here.
	Blocks []block.Block `json:",omitzero"`
	// Links are the limits between regions.
	Links []link.Link `json:",omitzero"`
	// Objectives are the service-level objectives.
	Objectives []objective.Objective `json:",omitzero"`
	// Routes are the routes by which requests come in, where operators tell
	// them apart from services.
	Routes []ingress.Ingress `json:",omitzero"`
	// EntryLimits bound what callers send.
	EntryLimits entrylimit.Entrylimit `json:",omitzero"`
	// KeyStaleness is how long a failure domain that hears neither the
	// platform nor another domain goes on accepting keys.
	KeyStaleness staleness.Staleness
}

// InForce returns the preset that the configuration names. Validation makes
// sure that there is exactly one.
func (c *Config) InForce() preset.Preset {
	for _, p := range c.Presets {
		if p.Name == c.Preset {
			return p
		}
	}
	return preset.Preset{}
}
