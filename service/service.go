// Package service describes what callers ask for: a set of routes that the
// same backend servers answer.
package service

import "time"

// Service is one set of routes.
type Service struct {
	// Name identifies the service in the configuration.
	Name string
	// Prefix is the start of the request path, "/listings/" for example. The
	// longest matching prefix decides.
	Prefix string
	// NonIdempotent marks every request of the service as non-idempotent,
	// whatever its method is.
	NonIdempotent bool `json:",omitzero"`
	// Deferrable marks work that may wait, such as exports: it is served only
	// when no other work waits.
	Deferrable bool `json:",omitzero"`
	// SharedWith names the service whose backend servers also answer this one;
	// empty when it has its own. What is Deferrable comes after that service.
	SharedWith string `json:",omitzero"`
	// Timeout is how long a request may take when its caller states no
	// deadline.
	Timeout time.Duration
	// AnswerBytes is the usual size of an answer, for the limits of links.
	AnswerBytes int64 `json:",omitzero"`
	// Health is the path of the backend servers' health endpoint.
	Health string `json:",omitzero"`
	// Connections is how many open connections a backend server accepts from
	// all hosts together.
	Connections int `json:",omitzero"`
	// WarmUp is how long a backend server is cold after its start.
	WarmUp time.Duration `json:",omitzero"`
	// ColdRate is how many requests a second a cold backend server bears, from
	// all hosts together.
	ColdRate float64 `json:",omitzero"`
}
