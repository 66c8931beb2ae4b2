// Package health describes the result of probing a backend server.
package health

import "celeryreach.example/celeryreach/loadreport"

// Health is the result of one probe. It may be wrong in both directions, since health
// endpoints can lag behind or report a false state.
type Health struct {
	// Reached is set if a connection could be opened.
	Reached bool
	// Healthy is set if the health endpoint reported a healthy state.
	Healthy bool
	// Report is the load report in the header of the endpoint's answer.
	Report loadreport.Loadreport
}
