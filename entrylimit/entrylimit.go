// Package entrylimit describes the limits on what callers may send to a host.
package entrylimit

import "time"

// Entrylimit bounds the size and duration of a caller's requests and
// connections.
type Entrylimit struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeout is how long a caller may take to send the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a keep-alive connection may be idle.
	IdleTimeout time.Duration
}
