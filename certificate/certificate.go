// Package certificate describes the certificates that settings name.
package certificate

// Certificate names the files that one address uses for TLS. They are read
// again when they change.
type Certificate struct {
	// File holds the certificate chain, PEM.
	File string
	// KeyFile holds the private key, PEM.
	KeyFile string
	// AuthorityFile holds the certificate authority of the other hosts, PEM.
	// Only the address for hosts has one.
	AuthorityFile string `json:",omitzero"`
	// ServerName is the name that every host's certificate carries. When it is
	// empty, a host's certificate must carry the host's IP address.
	ServerName string `json:",omitzero"`
}
