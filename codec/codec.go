// Package codec writes and reads every JSON document of the system in one
// way: field names in Pascal case as the fields are named, durations as
// strings with a unit ("250ms"), unknown fields refused.
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

// Marshal returns v on one line.
func Marshal(v any) ([]byte, error) {
	return json.Marshal(v, options)
}

// MarshalIndent returns v over several lines, for people.
func MarshalIndent(v any) ([]byte, error) {
	return json.Marshal(v, options, jsontext.WithIndent("  "))
}

// Unmarshal reads one document into v. The error names the field by its JSON
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
		return errors.Errorf("%q is no duration with a unit, such as \"250ms\"", t.String())
	}
	*d = v
	return nil
}
