// Package acceptedversion describes the table rows that name the accepted version of a
// versioned content: the configuration, the plan, the client blocks.
package acceptedversion

import (
	"crypto/sha256"
	"encoding/hex"
)

// Keys of the rows.
const (
	// ConfigKey is the key of the configuration's row.
	ConfigKey = "config"
	// PlanKey is the key of the plan's row.
	PlanKey = "plan"
	// BlocksKey is the key of the client block table's row.
	BlocksKey = "blocks"
)

// RecentVersions is the number of earlier hashes in a row.
const RecentVersions = 32

// Acceptedversion is the value of a row.
type Acceptedversion struct {
	// Version is the accepted version.
	Version uint64
	// Hash is the SHA-256 of the content, which is stored as an object under the name
	// that ObjectName returns.
	Hash string
	// Recent holds the hashes of the previous versions, newest first. If the answer to
	// a commit was lost, its author finds out from these hashes whether the commit took
	// effect, even if other versions have followed.
	Recent []string `json:",omitzero"`
}

// HashOf returns the hash that was accepted as the given version, if the row
// still contains it.
func (a Acceptedversion) HashOf(version uint64) (string, bool) {
	if version == a.Version {
		return a.Hash, true
	}
	if version > a.Version || a.Version-version > uint64(len(a.Recent)) {
		return "", false
	}
	return a.Recent[a.Version-version-1], true
}

// Next returns the row that follows a.
func (a Acceptedversion) Next(hash string) Acceptedversion {
	n := Acceptedversion{Version: a.Version + 1, Hash: hash}
	if a.Version > 0 {
		n.Recent = append([]string{a.Hash}, a.Recent[:min(len(a.Recent), RecentVersions-1)]...)
	}
	return n
}

// ObjectName returns the name of the object that stores a content of the row
// with the given key.
func ObjectName(key, hash string) string {
	return key + "/" + hash
}

// Hash returns the hash of a content.
func Hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// shortHashLength is the length of an abbreviated hash. At 64 bits, two
// contents of the same version do not collide by accident.
const shortHashLength = 16

// Short abbreviates a hash for messages that are sent often.
func Short(hash string) string {
	return hash[:min(len(hash), shortHashLength)]
}
