// Package writtenform tests the JSON form of the types that the program writes:
// renaming an identifier must not change a written name.
package writtenform

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
)

const formsDir = "testdata/forms"

// Check compares the JSON form of a type with two files: one with every field
// set, and one of the zero value, which shows which fields are omitted when
// empty. Both must decode to the original value. v points to a zero value of
// the type. With UPDATE set in the environment Check rewrites the files first.
func Check(t *testing.T, name string, v any) {
	t.Helper()
	y := reflect.TypeOf(v).Elem()
	must.True(t, reflect.ValueOf(v).Elem().IsZero())
	f := reflect.New(y)
	(&filler{t: t}).fill(f.Elem())
	b := compareWithFile(t, name, f.Interface())
	r := reflect.New(y)
	must.NoError(t, codec.Unmarshal(b, r.Interface()))
	must.True(t, reflect.DeepEqual(f.Interface(), r.Interface()), must.Sprintf("%s decodes to a different value: %+v", name, r.Elem()))

	// An empty list decodes to an empty slice instead of nil, so the texts are
	// compared.
	b = compareWithFile(t, name+".zero", v)
	r = reflect.New(y)
	must.NoError(t, codec.Unmarshal(b, r.Interface()))
	must.EqOp(t, string(b), marshalText(t, r.Interface()))
}

// compareWithFile compares v with the content of the file and returns that
// content.
func compareWithFile(t *testing.T, name string, v any) []byte {
	t.Helper()
	p := filepath.Join(formsDir, name+".json")
	s := marshalText(t, v)
	if os.Getenv("UPDATE") != "" {
		must.NoError(t, os.MkdirAll(formsDir, 0o750))
		must.NoError(t, os.WriteFile(p, []byte(s), 0o600))
	}
	b, err := os.ReadFile(p)
	must.NoError(t, err)
	must.EqOp(t, string(b), s)
	return b
}

func marshalText(t *testing.T, v any) string {
	t.Helper()
	b, err := codec.MarshalIndent(v)
	must.NoError(t, err)
	return string(b) + "\n"
}
