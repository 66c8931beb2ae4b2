// Package settings defines and reads the settings of one host.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certificate"
	"celeryreach.example/celeryreach/document"
	"celeryreach.example/celeryreach/mistake"
)

// Settings are the values that a host needs locally; the host takes everything else
// from the configuration.
type Settings struct {
	// Name identifies the host among all hosts.
	Name string
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
	// CallerAddress is the IP address and port on which callers are served.
	CallerAddress string
	// PeerAddress is the IP address and port on which other hosts are served.
	PeerAddress string
	// OperatorAddress is the IP address and port on which operators are served.
	OperatorAddress string
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Peers are peer addresses to contact before the platform's list of hosts is
	// known.
	Peers []string `json:",omitzero"`
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// Hold is the time without a heartbeat after which a peer's leased shares may
	// be taken over.
	Hold time.Duration
	// DrainTimeout is how long a graceful shutdown waits for requests.
	DrainTimeout time.Duration
	// CallerTLS enables TLS for callers; nil means plain HTTP.
	CallerTLS *certificate.Certificate `json:",omitzero"`
	// PeerTLS enables mutual TLS between hosts; nil means that any client that
	// reaches PeerAddress is accepted as a host.
	PeerTLS *certificate.Certificate `json:",omitzero"`
	// OperatorTLS enables TLS for operators; nil means plain HTTP.
	OperatorTLS *certificate.Certificate `json:",omitzero"`
}

// Load reads a settings file, JSON with comments, and returns all mistakes in it.
func Load(path string) (Settings, []mistake.Mistake, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "settings")
	}
	return Parse(b)
}

// Parse decodes settings on top of the defaults and returns all mistakes in them.
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

// Default returns the settings that apply where a file does not set them.
func Default() Settings {
	return Settings{
		Heartbeat:    200 * time.Millisecond,
		Hold:         3 * time.Second,
		DrainTimeout: 30 * time.Second,
	}
}
