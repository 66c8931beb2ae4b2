// Package hop removes the header fields that belong to one connection.
package hop

import (
	"net/http"
	"strings"
)

// fields are those of RFC 9110, section 7.6.1, and its predecessors. Trailer
// is one of them here because trailers are not passed on: RFC 9110, section
// 6.5.1, lets an intermediary drop them, and a key could hide in one.
var fields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the hop-by-hop fields of h, also those that its Connection
// field names.
func Strip(h http.Header) {
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range fields {
		h.Del(n)
	}
}
