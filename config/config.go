// Package config defines the configuration that operators change and every host
// applies.
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

// Config is one accepted version of the configuration. It is immutable once
// published; each change creates a new Config.
type Config struct {
	// Version increases by one with each accepted change. Hosts apply only versions
	// higher than their own.
	Version uint64
	// Preset is the name of the preset in force.
	Preset string
	// Presets are the policies to choose from.
	Presets []preset.Preset
	// Regions are the regions.
	Regions []region.Region
	// Domains are the failure domains.
	Domains []domain.Domain
	// Services are the services that callers request.
	Services []service.Service
	// Backends are the backend servers.
	Backends []backend.Backend
	// Accounts are the client accounts.
	Accounts []account.Account
	// Keys are the valid keys of client accounts. A key is withdrawn by removing
	// it.
	Keys []credential.Credential
	// Operators are the keys of operators.
	Operators []credential.Credential
	// Blocks are the client blocks that a small deployment lists here instead of in the
	// block table.
	Blocks []block.Block `json:",omitzero"`
	// Links limit the bytes per second between regions.
	Links []link.Link `json:",omitzero"`
	// Objectives are the service-level objectives.
	Objectives []objective.Objective `json:",omitzero"`
	// Routes are the routes of incoming requests, for operators that define routes
	// separately from services.
	Routes []ingress.Ingress `json:",omitzero"`
	// EntryLimits limit the requests of callers.
	EntryLimits entrylimit.Entrylimit `json:",omitzero"`
	// KeyStaleness is how long a failure domain that can reach neither the platform
	// nor another domain keeps accepting keys.
	KeyStaleness staleness.Staleness
}

// ActivePreset returns the preset that the configuration names. Validation ensures that
// there is exactly one.
func (c *Config) ActivePreset() preset.Preset {
	for _, p := range c.Presets {
		if p.Name == c.Preset {
			return p
		}
	}
	return preset.Preset{}
}
