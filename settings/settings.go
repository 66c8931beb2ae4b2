// Package settings describes and reads the settings of one host.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"celeryreach.example/celeryreach/codec"
)

// Settings are what a host must be told; everything else it takes from the
// configuration.
type Settings struct {
	// Name identifies the host among all hosts.
	Name string
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
	// CallerAddress is where callers are served, IP and port.
	CallerAddress string
	// PeerAddress is where other hosts are served, IP and port.
	PeerAddress string
	// OperatorAddress is where operators are served, IP and port.
	OperatorAddress string
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Peers are peer addresses to try before the platform's list is known.
	Peers []string `json:",omitzero"`
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// Hold is the silence after which a peer's leased shares may be taken.
	Hold time.Duration
	// DrainTimeout is how long a graceful shutdown waits for requests.
	DrainTimeout time.Duration
}

// Load reads a settings file, JSON with comments.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(b)
}

// Parse reads settings from JSON with comments, over the defaults.
func Parse(b []byte) (Settings, error) {
	s := Default()
	j, err := hujson.Standardize(b)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if err := codec.Unmarshal(j, &s); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return s, nil
}

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Heartbeat:    200 * time.Millisecond,
		Hold:         3 * time.Second,
		DrainTimeout: 30 * time.Second,
	}
}
