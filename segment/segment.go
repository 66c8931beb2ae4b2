// Package segment describes a range of points that goes to one region.
package segment

// Segment is one range of a route's points. It begins where the previous
// segment ends.
type Segment struct {
	// Until is the first point after the segment.
	Until int
	// Region serves the segment.
	Region string
}
