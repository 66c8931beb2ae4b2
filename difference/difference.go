// Package difference compares two versions of the configuration for people.
package difference

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
)

// Difference is one field or entry that differs.
type Difference struct {
	// Path names the field: Accounts[unity-camps].Rate for example.
	Path string
	// Old is the former value, empty when the entry is new.
	Old string `json:",omitzero"`
	// New is the later value, empty when the entry is gone.
	New string `json:",omitzero"`
}

// String returns the difference on one line.
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

// Between returns what differs from a to b, ordered by path, but for the
// version. Entries of lists are matched by name, so that a moved entry is no
// difference.
func Between(a, b *config.Config) []Difference {
	x, y := *a, *b
	x.Version, y.Version = 0, 0
	r := compare(nil, "", reflect.ValueOf(x), reflect.ValueOf(y))
	sort.SliceStable(r, func(i, j int) bool { return r[i].Path < r[j].Path })
	return r
}

// Overlap reports whether two sets of differences touch the same entry or
// field, so that applying one after the other would undo something.
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
		return entries(r, path, a, b)
	case a.Kind() == reflect.Struct && exported(a.Type()):
		for i := range a.NumField() {
			r = compare(r, join(path, a.Type().Field(i).Name), a.Field(i), b.Field(i))
		}
		return r
	}
	return append(r, Difference{Path: path, Old: text(a), New: text(b)})
}

func entries(r []Difference, path string, a, b reflect.Value) []Difference {
	x, y := index(a), index(b)
	for k, v := range x {
		p := path + "[" + k + "]"
		if w, ok := y[k]; ok {
			r = compare(r, p, v, w)
		} else {
			r = append(r, Difference{Path: p, Old: text(v)})
		}
	}
	for k, w := range y {
		if _, ok := x[k]; !ok {
			r = append(r, Difference{Path: path + "[" + k + "]", New: text(w)})
		}
	}
	return r
}

// index keys the entries of a list by what names them.
func index(v reflect.Value) map[string]reflect.Value {
	r := make(map[string]reflect.Value, v.Len())
	for i := range v.Len() {
		e := v.Index(i)
		k := key(e)
		for n := 2; ; n++ {
			if _, ok := r[k]; !ok {
				break
			}
			k = fmt.Sprintf("%s#%d", key(e), n)
		}
		r[k] = e
	}
	return r
}

func key(e reflect.Value) string {
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

// exported reports whether every field can be read: a netip.Prefix for one is
// compared as a whole.
func exported(t reflect.Type) bool {
	for i := range t.NumField() {
		if !t.Field(i).IsExported() {
			return false
		}
	}
	return true
}

func text(v reflect.Value) string {
	b, err := codec.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
