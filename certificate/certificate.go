// Package certificate describes the certificate files that the settings refer to.
package certificate

// Certificate contains the paths of the TLS files of one address. The files are read
// again when they change.
type Certificate struct {
	// File contains the certificate chain in PEM format.
	File string
	// KeyFile contains the private key in PEM format.
	KeyFile string
	// AuthorityFile contains the certificate authority of the other hosts in PEM
	// format. It is set only for the address for hosts.
	AuthorityFile string `json:",omitzero"`
	// ServerName is the name for which every host's certificate is valid. If it is
	// empty, a host's certificate must be valid for the host's IP address.
	ServerName string `json:",omitzero"`
}
