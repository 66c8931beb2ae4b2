// Package difference names the fields in which two configurations differ.
package difference

import (
	"sort"
	"strconv"

	"github.com/go-json-experiment/json"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
)

// Difference is one changed field.
type Difference struct {
	// Path names the field; list items go by their own name.
	Path string
	// Old is the value before as JSON, empty for an added field.
	Old string `json:",omitzero"`
	// New is the value after as JSON, empty for a removed field.
	New string `json:",omitzero"`
}

// identities are the fields that name a list's item, in the order in which
// they are looked for.
var identities = []string{"Name", "ID", "Prefix", "Service", "From"}

// Of returns the changed fields ordered by path.
func Of(a, b config.Config) []Difference {
	x, y := make(map[string]string), make(map[string]string)
	flatten("", tree(a), x)
	flatten("", tree(b), y)
	var r []Difference
	for p, v := range x {
		if w := y[p]; w != v {
			r = append(r, Difference{Path: p, Old: v, New: w})
		}
	}
	for p, w := range y {
		if _, ok := x[p]; !ok {
			r = append(r, Difference{Path: p, New: w})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Path < r[j].Path })
	return r
}

func tree(c config.Config) any {
	b, err := codec.Marshal(c)
	if err != nil {
		panic(err) // a Config holds nothing that JSON cannot
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		panic(err) // it was just written
	}
	return v
}

func flatten(path string, v any, out map[string]string) {
	switch x := v.(type) {
	case map[string]any:
		for k, w := range x {
			flatten(path+"/"+k, w, out)
		}
	case []any:
		for i, w := range x {
			flatten(path+"/"+identity(i, w), w, out)
		}
	default:
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // it was just read
		}
		out[path] = string(b)
	}
}

// identity names a list's item, so that an item that moved is no difference.
func identity(i int, v any) string {
	m, ok := v.(map[string]any)
	if !ok {
		return strconv.Itoa(i)
	}
	for _, k := range identities {
		if s, ok := m[k].(string); ok && s != "" {
			if t, ok := m["To"].(string); ok {
				return s + "-" + t
			}
			return s
		}
	}
	return strconv.Itoa(i)
}
