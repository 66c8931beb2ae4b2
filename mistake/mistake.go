// Package mistake describes an error in a document written by people.
package mistake

import "fmt"

// Mistake is one error in a document. A document is rejected with all of its
// mistakes, so that they can be fixed in one round.
type Mistake struct {
	// Line is the line in the document, zero when the document lacks the field.
	Line int `json:",omitzero"`
	// Field is the JSON pointer of the field.
	Field string
	// Text describes what is wrong and what is expected.
	Text string
}

// String returns the mistake on one line.
func (m Mistake) String() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.Field, m.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Field, m.Text)
}
