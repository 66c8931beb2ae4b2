// Package service describes services: groups of routes that the same backend
// servers answer.
package service

import "time"

// Service is one group of routes.
type Service struct {
	// Name identifies the service in the configuration.
	Name string
	// Prefix is the start of the request path, for example "/listings/". The
	// longest matching prefix wins.
	Prefix string
	// NonIdempotent marks every request of the service as non-idempotent,
	// regardless of its method.
	NonIdempotent bool `json:",omitzero"`
	// Deferrable marks requests that may wait, such as exports. They are served
	// only when no other requests wait.
	Deferrable bool `json:",omitzero"`
	// SharedWith is the name of another service whose backend servers also answer
	// requests of this service. It is empty if this service has its own backend
	// servers. Deferrable requests are served after the requests of the other service.
	SharedWith string `json:",omitzero"`
	// Timeout is the maximum duration of a request whose caller specifies no
	// deadline.
	Timeout time.Duration
	// AnswerBytes is the typical size of an answer, which is used for link
	// limits.
	AnswerBytes int64 `json:",omitzero"`
	// Health is the path of the backend servers' health endpoint.
	Health string `json:",omitzero"`
	// Connections is how many open connections a backend server accepts from
	// all hosts together.
	Connections int `json:",omitzero"`
	// WarmUp is how long a backend server is cold after its start.
	WarmUp time.Duration `json:",omitzero"`
	// ColdRate is how many requests per second a cold backend server can
	// handle, from all hosts together.
	ColdRate float64 `json:",omitzero"`
}
