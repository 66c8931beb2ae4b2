// Package writtenform holds the outer form of the types that the program writes
// out as JSON, for tests: a renamed identifier must not change a written name.
package writtenform

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
)

const folder = "testdata/forms"

// Check compares the form of a type with the files of that name: one holds a
// value with every field set, the other the zero value, which shows what is
// left out when it is empty. Both must be read back as they were. v points to a
// zero value of the type. With UPDATE set in the environment it writes the
// files instead.
func Check(t *testing.T, name string, v any) {
	t.Helper()
	y := reflect.TypeOf(v).Elem()
	must.True(t, reflect.ValueOf(v).Elem().IsZero())
	f := reflect.New(y)
	(&filler{t: t}).fill(f.Elem())
	b := compare(t, name, f.Interface())
	r := reflect.New(y)
	must.NoError(t, codec.Unmarshal(b, r.Interface()))
	must.True(t, reflect.DeepEqual(f.Interface(), r.Interface()), must.Sprintf("%s is read back as %+v", name, r.Elem()))

	// An empty list is read back as another one than nil, so texts are compared.
	b = compare(t, name+".zero", v)
	r = reflect.New(y)
	must.NoError(t, codec.Unmarshal(b, r.Interface()))
	must.EqOp(t, string(b), write(t, r.Interface()))
}

// compare returns the content of the file after comparing it with v.
func compare(t *testing.T, name string, v any) []byte {
	t.Helper()
	p := filepath.Join(folder, name+".json")
	s := write(t, v)
	if os.Getenv("UPDATE") != "" {
		must.NoError(t, os.MkdirAll(folder, 0o750))
		must.NoError(t, os.WriteFile(p, []byte(s), 0o600))
	}
	b, err := os.ReadFile(p)
	must.NoError(t, err)
	must.EqOp(t, string(b), s)
	return b
}

func write(t *testing.T, v any) string {
	t.Helper()
	b, err := codec.MarshalIndent(v)
	must.NoError(t, err)
	return string(b) + "\n"
}
