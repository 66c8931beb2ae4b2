// Package admission finds the client account of a request by its key and takes
// the key out of the request.
package admission

import (
	"net/http"
	"strings"

	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/snapshot"
)

// KeyHeader carries a key where Authorization is used otherwise.
const KeyHeader = "X-Api-Key"

const bearer = "Bearer "

// Admission checks keys against the configuration in force.
type Admission struct {
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Stale reports whether this host may have missed withdrawals for too long
	// to trust keys; nil means that it never may.
	Stale func(nonIdempotent bool) bool
}

// Identify returns the credential of a request.
func (a *Admission) Identify(r *http.Request) (credential.Credential, bool) {
	k := Key(r)
	s := a.Snapshot()
	if k == "" || s == nil {
		return credential.Credential{}, false
	}
	return s.Key(credential.Hash(k))
}

// Valid reports whether a key that was accepted before still works. It is
// asked again right before a request leaves, since the key may have been
// withdrawn while the request waited.
func (a *Admission) Valid(c credential.Credential) bool {
	s := a.Snapshot()
	if s == nil {
		return false
	}
	_, ok := s.Key(c.Hash)
	return ok
}

// Trusts reports whether this host may rely on its keys for a request. A host
// that is cut off cannot hear of withdrawals.
func (a *Admission) Trusts(nonIdempotent bool) bool {
	return a.Stale == nil || !a.Stale(nonIdempotent)
}

// Key returns the key of a request, empty if it has none.
func Key(r *http.Request) string {
	if k := r.Header.Get(KeyHeader); k != "" {
		return k
	}
	v := r.Header.Get("Authorization")
	if len(v) > len(bearer) && strings.EqualFold(v[:len(bearer)], bearer) {
		return v[len(bearer):]
	}
	return ""
}

// Strip removes the key from the headers of a request.
func Strip(h http.Header) {
	h.Del(KeyHeader)
	h.Del("Authorization")
}
