// Package why describes the reasons of a look-up answer.
package why

import (
	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/segment"
)

// Why tells why a caller goes where it goes, as the asked host sees it.
type Why struct {
	// Answer is what the caller gets.
	Answer answer.Answer
	// Refusal says why it gets nothing.
	Refusal outcome.Outcome `json:",omitzero"`
	// Block is the caller's client block, empty when no block has its address.
	Block string `json:",omitzero"`
	// Home is the region that is nearest to the caller.
	Home string
	// Point is the block's fixed point on the route.
	Point int
	// Route divides the points of the home region's callers between regions.
	Route []segment.Segment
	// Weights are the plan's weights of failure domains that are drained or
	// come back.
	Weights map[string]float64 `json:",omitzero"`
	// PlanReason says what the plan changed.
	PlanReason string `json:",omitzero"`
	// Lost are regions of which no host was heard for long.
	Lost []string `json:",omitzero"`
	// Leaving are hosts that are shutting down and are not named.
	Leaving []string `json:",omitzero"`
}
