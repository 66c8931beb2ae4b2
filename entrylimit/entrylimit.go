// Package entrylimit describes what callers may send to an entry host.
package entrylimit

import "time"

// Entrylimit bounds a caller's requests and connections.
type Entrylimit struct {
	// HeaderBytes is the greatest size of a request's header.
	HeaderBytes int
	// BodyBytes is the greatest size of a request's body.
	BodyBytes int64
	// HeaderTimeout is how long a caller may take to send the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept connection may be without a request.
	IdleTimeout time.Duration
}
