// Package admission finds the client account of a request by its key and takes
// the key out of the request.
package admission

import (
	"net/http"
	"net/url"
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
	if hasBearer(v) {
		return v[len(bearer):]
	}
	return ""
}

// Fault returns what is wrong with the way a request carries its key, empty if
// nothing is. A key is sent in one place: a copy elsewhere, in the query, a
// cookie or a Referer, would reach the backend server, and of two keys one
// would be charged for the other's request.
func Fault(r *http.Request) string {
	a, x := r.Header["Authorization"], r.Header[KeyHeader]
	if len(a) > 1 || len(x) > 1 {
		return "the key is given twice"
	}
	if len(x) == 1 && len(a) == 1 && hasBearer(a[0]) {
		return "the key is given in two places"
	}
	k := Key(r)
	if k == "" {
		return ""
	}
	if copied(r, k) {
		return "the key is also in another part of the request"
	}
	return ""
}

func copied(r *http.Request, k string) bool {
	t := r.URL.RequestURI()
	if u, err := url.PathUnescape(t); strings.Contains(t, k) || err == nil && strings.Contains(u, k) {
		return true
	}
	for n, l := range r.Header {
		if n == "Authorization" || n == KeyHeader {
			continue
		}
		for _, v := range l {
			if u, err := url.PathUnescape(v); strings.Contains(v, k) || err == nil && strings.Contains(u, k) {
				return true
			}
		}
	}
	return false
}

func hasBearer(v string) bool {
	return len(v) > len(bearer) && strings.EqualFold(v[:len(bearer)], bearer)
}

// Strip removes the key from the headers of a request.
func Strip(h http.Header) {
	h.Del(KeyHeader)
	h.Del("Authorization")
}
