// Package authenticator identifies the client account of a request by its API key and
// removes the key from the request.
package authenticator

import (
	"net/http"
	"net/url"
	"strings"

	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/snapshot"
)

// KeyHeader carries the API key of requests that use Authorization for other purposes.
const KeyHeader = "X-Api-Key"

const bearerPrefix = "Bearer "

// Authenticator checks API keys against the configuration in force.
type Authenticator struct {
	// Snapshot returns the configuration in force, or nil before the first one.
	Snapshot func() *snapshot.Snapshot
	// AreKeysStale reports whether this host may have missed key withdrawals for too long to
	// rely on its keys. Nil means that keys are never stale.
	AreKeysStale func(nonIdempotent bool) bool
}

// Identify returns the credential that belongs to the key of a request.
func (a *Authenticator) Identify(r *http.Request) (credential.Credential, bool) {
	k := Key(r)
	s := a.Snapshot()
	if k == "" || s == nil {
		return credential.Credential{}, false
	}
	return s.Key(credential.Hash(k))
}

// Valid reports whether a key that was accepted earlier is still in force. The key is
// checked again right before a request is sent, since the key may have been withdrawn
// while the request waited.
func (a *Authenticator) Valid(c credential.Credential) bool {
	s := a.Snapshot()
	if s == nil {
		return false
	}
	_, ok := s.Key(c.Hash)
	return ok
}

// MayUseKeys reports whether this host may rely on its keys for a request. A
// partitioned host does not receive key withdrawals.
func (a *Authenticator) MayUseKeys(nonIdempotent bool) bool {
	return a.AreKeysStale == nil || !a.AreKeysStale(nonIdempotent)
}

// Key returns the API key of a request, or an empty string if there is none.
func Key(r *http.Request) string {
	if k := r.Header.Get(KeyHeader); k != "" {
		return k
	}
	v := r.Header.Get("Authorization")
	if hasBearer(v) {
		return v[len(bearerPrefix):]
	}
	return ""
}

// InvalidKeyReason returns what is wrong with the way in which a request carries its
// key, or an empty string if nothing is wrong. A key must be sent in one place only: a
// copy in the query, a cookie or a Referer would reach the backend server. If a request
// carried two keys, one account would be charged for the other's request.
func InvalidKeyReason(r *http.Request) string {
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
	if hasKeyElsewhere(r, k) {
		return "the key is also in another part of the request"
	}
	return ""
}

// hasKeyElsewhere reports whether the URL or any other header field contains the key,
// literally or percent-encoded.
func hasKeyElsewhere(r *http.Request, k string) bool {
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
	return len(v) > len(bearerPrefix) && strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix)
}

// RemoveKeys removes the header fields that can carry the key.
func RemoveKeys(h http.Header) {
	h.Del(KeyHeader)
	h.Del("Authorization")
}
