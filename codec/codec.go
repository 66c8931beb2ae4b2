// Package codec encodes and decodes every JSON document of the system in the
// same way: field names are the Go field names, durations are strings with a
// unit ("250ms"), and unknown fields are rejected.
package codec

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

var options = json.JoinOptions(
	json.WithMarshalers(json.MarshalToFunc(writeDuration)),
	json.WithUnmarshalers(json.UnmarshalFromFunc(readDuration)),
	json.RejectUnknownMembers(true),
	json.Deterministic(true),
)

// Marshal encodes v on one line.
func Marshal(v any) ([]byte, error) {
	return json.Marshal(v, options)
}

// MarshalIndent encodes v on several lines, for human readers.
func MarshalIndent(v any) ([]byte, error) {
	return json.Marshal(v, options, jsontext.WithIndent("  "))
}

// Unmarshal decodes one document into v. The error names the field by its JSON
// pointer.
func Unmarshal(b []byte, v any) error {
	return json.Unmarshal(b, v, options)
}

func writeDuration(e *jsontext.Encoder, d time.Duration) error {
	return e.WriteToken(jsontext.String(d.String()))
}

func readDuration(r *jsontext.Decoder, d *time.Duration) error {
	t, err := r.ReadToken()
	if err != nil {
		return err
	}
	if t.Kind() != '"' {
		return errors.Errorf("want a duration with a unit, such as \"250ms\", not %s", t)
	}
	v, err := time.ParseDuration(t.String())
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as \"250ms\"", t.String())
	}
	*d = v
	return nil
}
