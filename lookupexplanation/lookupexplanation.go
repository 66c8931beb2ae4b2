// Package lookupexplanation describes the reasons for a look-up answer.
package lookupexplanation

import (
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/segment"
)

// Lookupexplanation explains where a caller is steered, as seen by the host that
// answers.
type Lookupexplanation struct {
	// Answer is the answer to the caller.
	Answer lookupanswer.Lookupanswer
	// Refusal is the reason if the caller is refused.
	Refusal outcome.Outcome `json:",omitzero"`
	// Block is the caller's client block, empty if no block contains the
	// caller's address.
	Block string `json:",omitzero"`
	// Home is the region that is nearest to the caller.
	Home string
	// Point is the block's fixed point on the route.
	Point int
	// Route divides the points of the home region's callers between regions.
	Route []segment.Segment
	// Weights are the plan's weights of failure domains that are drained or
	// returning to service.
	Weights map[string]float64 `json:",omitzero"`
	// PlanReason describes what the plan changed.
	PlanReason string `json:",omitzero"`
	// Lost are the regions whose hosts have sent no heartbeat for a long
	// time.
	Lost []string `json:",omitzero"`
	// Leaving are the hosts that are shutting down and therefore not part
	// of the answer.
	Leaving []string `json:",omitzero"`
}
