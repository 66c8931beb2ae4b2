// Package accepted describes the table rows that name the accepted version of
// a content: the configuration, the plan, the client blocks.
package accepted

import (
	"crypto/sha256"
	"encoding/hex"
)

// Keys of the rows.
const (
	// RowKey is the row of the configuration.
	RowKey = "config"
	// PlanKey is the row of the plan.
	PlanKey = "plan"
	// BlocksKey is the row of the client block table.
	BlocksKey = "blocks"
)

// RecentVersions is how many earlier hashes a row keeps.
const RecentVersions = 32

// Accepted is the content of a row.
type Accepted struct {
	// Version is the accepted version.
	Version uint64
	// Hash is the SHA-256 of the content, which the object store holds under
	// ObjectName.
	Hash string
	// Recent are the hashes of the versions before, newest first. They let
	// the author of a change whose answer was lost find it although others
	// have already followed.
	Recent []string `json:",omitzero"`
}

// HashOf returns the hash that was accepted under a version, if the row still
// knows it.
func (a Accepted) HashOf(version uint64) (string, bool) {
	if version == a.Version {
		return a.Hash, true
	}
	if version > a.Version || a.Version-version > uint64(len(a.Recent)) {
		return "", false
	}
	return a.Recent[a.Version-version-1], true
}

// Next returns the row that follows a.
func (a Accepted) Next(hash string) Accepted {
	n := Accepted{Version: a.Version + 1, Hash: hash}
	if a.Version > 0 {
		n.Recent = append([]string{a.Hash}, a.Recent[:min(len(a.Recent), RecentVersions-1)]...)
	}
	return n
}

// ObjectName returns the name of the object that holds a content of the row
// with the given key.
func ObjectName(key, hash string) string {
	return key + "/" + hash
}

// Hash returns the hash of a content.
func Hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// shortLength is the length of an abbreviated hash: 64 bits, of which no two
// contents of one version have the same by accident.
const shortLength = 16

// Short abbreviates a hash for messages that are sent often.
func Short(hash string) string {
	return hash[:min(len(hash), shortLength)]
}
