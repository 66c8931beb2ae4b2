// Package credential describes keys as the configuration keeps them: hashed.
package credential

import (
	"crypto/sha256"
	"encoding/hex"
)

// Credential is one key of a client account or of an operator. The key itself
// is shown once, when it is issued, and is stored nowhere.
type Credential struct {
	// ID names the key in commands and logs. It is not secret.
	ID string
	// Account is the client account the key speaks for. It is empty for
	// operators.
	Account string `json:",omitzero"`
	// Hash is the hex SHA-256 of the key. Keys carry 128 random bits or more,
	// so a slow hash would add cost to each request and no protection.
	Hash string
}

// Hash returns the stored form of a key.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
