// Package difference compares two versions of the configuration in a form that
// operators can read.
package difference

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
)

// Difference is one field or list entry that differs.
type Difference struct {
	// Path names the field, for example Accounts[unity-camps].Rate.
	Path string
	// Old is the previous value, empty if the entry was added.
	Old string `json:",omitzero"`
	// New is the current value, empty if the entry was removed.
	New string `json:",omitzero"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s %s -> %s", d.Path, d.Old, d.New)
	}
}

// Between returns the differences from a to b ordered by path, except for the
// version. List entries are matched by name, so a reordered list has no
// difference.
func Between(a, b *config.Config) []Difference {
	x, y := *a, *b
	x.Version, y.Version = 0, 0
	r := compare(nil, "", reflect.ValueOf(x), reflect.ValueOf(y))
	sort.SliceStable(r, func(i, j int) bool { return r[i].Path < r[j].Path })
	return r
}

// Overlap reports whether two sets of differences affect the same entry or
// field, so that applying one after the other would revert a part of the first.
func Overlap(a, b []Difference) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Path == y.Path || strings.HasPrefix(x.Path, y.Path+".") || strings.HasPrefix(y.Path, x.Path+".") {
				return true
			}
		}
	}
	return false
}

func compare(r []Difference, path string, a, b reflect.Value) []Difference {
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return r
	}
	switch {
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		return compareEntries(r, path, a, b)
	case a.Kind() == reflect.Struct && allFieldsExported(a.Type()):
		for i := range a.NumField() {
			r = compare(r, joinPath(path, a.Type().Field(i).Name), a.Field(i), b.Field(i))
		}
		return r
	}
	return append(r, Difference{Path: path, Old: formatValue(a), New: formatValue(b)})
}

func compareEntries(r []Difference, path string, a, b reflect.Value) []Difference {
	x, y := indexEntries(a), indexEntries(b)
	for k, v := range x {
		p := path + "[" + k + "]"
		if w, ok := y[k]; ok {
			r = compare(r, p, v, w)
		} else {
			r = append(r, Difference{Path: p, Old: formatValue(v)})
		}
	}
	for k, w := range y {
		if _, ok := x[k]; !ok {
			r = append(r, Difference{Path: path + "[" + k + "]", New: formatValue(w)})
		}
	}
	return r
}

// indexEntries maps the entries of a list by their identifying fields.
func indexEntries(v reflect.Value) map[string]reflect.Value {
	r := make(map[string]reflect.Value, v.Len())
	for i := range v.Len() {
		e := v.Index(i)
		k := entryKey(e)
		for n := 2; ; n++ {
			if _, ok := r[k]; !ok {
				break
			}
			k = fmt.Sprintf("%s#%d", entryKey(e), n)
		}
		r[k] = e
	}
	return r
}

// entryKey returns the text that identifies a list entry, empty if it has no
// identifying field.
func entryKey(e reflect.Value) string {
	for _, n := range []string{"Name", "ID", "Prefix", "From", "Service"} {
		f := e.FieldByName(n)
		if !f.IsValid() {
			continue
		}
		if n == "From" {
			return fmt.Sprint(f.Interface(), "-", e.FieldByName("To").Interface())
		}
		return fmt.Sprint(f.Interface())
	}
	return ""
}

// allFieldsExported reports whether every field can be read by reflection. A
// struct with unexported fields, such as netip.Prefix, is compared as one
// value.
func allFieldsExported(t reflect.Type) bool {
	for i := range t.NumField() {
		if !t.Field(i).IsExported() {
			return false
		}
	}
	return true
}

func formatValue(v reflect.Value) string {
	b, err := codec.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
