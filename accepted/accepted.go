// Package accepted describes the table row that names the accepted version of
// the configuration.
package accepted

import (
	"crypto/sha256"
	"encoding/hex"
)

// RowKey is the key of the row.
const RowKey = "config"

// Accepted is the content of the row.
type Accepted struct {
	// Version is the accepted version.
	Version uint64
	// Hash is the SHA-256 of the content, which the object store holds under
	// ObjectName.
	Hash string
}

// ObjectName returns the name of the object that holds a content.
func ObjectName(hash string) string {
	return "config/" + hash
}

// Hash returns the hash of a content.
func Hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}
