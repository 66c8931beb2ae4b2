// Package hopheader removes hop-by-hop header fields, which apply to a single
// connection.
package hopheader

import (
	"net/http"
	"strings"
)

// hopByHopFields are the fields listed in RFC 9110, section 7.6.1, and its
// predecessors. Trailer is included because trailers are not forwarded: RFC
// 9110, section 6.5.1, allows an intermediary to drop them, and a key could be
// hidden in one.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the hop-by-hop fields of h, including those that its Connection
// field names.
func Strip(h http.Header) {
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopFields {
		h.Del(n)
	}
}
