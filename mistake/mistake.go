// Package mistake describes what is wrong in a document that people wrote.
package mistake

import "fmt"

// Mistake is one mistake. A document is refused with all of its mistakes, so
// that it is mended in one round.
type Mistake struct {
	// Line is the line in the document, zero when the document lacks the field.
	Line int `json:",omitzero"`
	// Field is the JSON pointer of the field.
	Field string
	// Text says what is wrong and what is wanted.
	Text string
}

// String returns the mistake on one line.
func (m Mistake) String() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.Field, m.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Field, m.Text)
}
