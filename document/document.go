// Package document decodes JSON with comments into typed values and reports all
// mistakes at once, with line and field.
package document

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/mistake"
)

// Document is a parsed document.
type Document struct {
	source []byte
	tree   hujson.Value
}

// Parse parses a document. A document with a syntax error has no fields to check,
// so only its first error is returned.
func Parse(b []byte) (*Document, error) {
	v, err := hujson.Parse(b)
	if err != nil {
		return nil, errors.Wrap(err, "JSON with comments")
	}
	return &Document{source: b, tree: v}, nil
}

// Decode decodes the document into the value that v points to, or returns all
// formal mistakes: unknown and repeated fields, wrong types, wrong units.
func (d *Document) Decode(v any) []mistake.Mistake {
	c := &checker{document: d}
	c.checkValue(&d.tree, elementType(v), "")
	if len(c.mistakes) > 0 {
		return c.mistakes
	}
	t := d.tree.Clone()
	t.Standardize()
	if err := codec.Unmarshal(t.Pack(), v); err != nil {
		return []mistake.Mistake{{Text: err.Error()}}
	}
	return nil
}

// Locate adds line numbers to semantic mistakes, each given as a JSON pointer, a
// colon and a text. A field that the document lacks gets the line of the
// enclosing value.
func (d *Document) Locate(texts []string) []mistake.Mistake {
	r := make([]mistake.Mistake, 0, len(texts))
	for _, t := range texts {
		p, s, ok := strings.Cut(t, ": ")
		if !ok {
			p, s = "", t
		}
		r = append(r, mistake.Mistake{Line: d.lineOfPointer(p), Field: p, Text: s})
	}
	return r
}

func (d *Document) lineOfPointer(pointer string) int {
	for pointer != "" {
		if v := d.tree.Find(pointer); v != nil {
			return d.lineAtOffset(v.StartOffset)
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return 0
}

func (d *Document) lineAtOffset(offset int) int {
	return 1 + bytes.Count(d.source[:offset], []byte("\n"))
}
