// Package credential describes keys in the hashed form that the configuration
// contains.
package credential

import (
	"crypto/sha256"
	"encoding/hex"
)

// Credential is one key of a client account or an operator. The key itself is
// shown once, when it is issued, and is not stored anywhere.
type Credential struct {
	// ID names the key in commands and logs. It is not secret.
	ID string
	// Account is the client account that the key belongs to. It is empty for
	// keys of operators.
	Account string `json:",omitzero"`
	// Hash is the hex-encoded SHA-256 of the key. A slow password hash is not
	// needed because keys contain at least 128 random bits: it would make each
	// request more expensive without added protection.
	Hash string
}

// Hash returns the stored form of a key.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
