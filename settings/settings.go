// Package settings describes and reads the settings of one host.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/document"
	"celeryreach.example/celeryreach/mistake"
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
	// CallerTLS makes callers use TLS; nil means plain HTTP.
	CallerTLS *certificate.Certificate `json:",omitzero"`
	// PeerTLS makes hosts authenticate each other; nil means that whoever
	// reaches PeerAddress is taken for a host.
	PeerTLS *certificate.Certificate `json:",omitzero"`
	// OperatorTLS makes operators use TLS; nil means plain HTTP.
	OperatorTLS *certificate.Certificate `json:",omitzero"`
}

// Load reads a settings file, JSON with comments, and returns every mistake in
// it.
func Load(path string) (Settings, []mistake.Mistake, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "settings")
	}
	return Parse(b)
}

// Parse reads settings over the defaults and returns every mistake in them.
func Parse(b []byte) (Settings, []mistake.Mistake, error) {
	s := Default()
	d, err := document.Parse(b)
	if err != nil {
		return s, nil, errors.Wrap(err, "settings")
	}
	if m := d.Decode(&s); len(m) > 0 {
		return s, m, nil
	}
	return s, d.Locate(s.Check()), nil
}

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Heartbeat:    200 * time.Millisecond,
		Hold:         3 * time.Second,
		DrainTimeout: 30 * time.Second,
	}
}
