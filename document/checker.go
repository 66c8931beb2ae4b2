package document

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/mistake"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	prefixType   = reflect.TypeFor[netip.Prefix]()
	bytesType    = reflect.TypeFor[[]byte]()
)

// checker walks a document beside the type that it is read into. A JSON
// decoder stops at the first mistake, and this one must not.
type checker struct {
	document *Document
	mistakes []mistake.Mistake
}

func typeOf(v any) reflect.Type {
	return reflect.TypeOf(v).Elem()
}

func (c *checker) add(v *hujson.Value, pointer, format string, args ...any) {
	c.mistakes = append(c.mistakes, mistake.Mistake{
		Line: c.document.at(v.StartOffset), Field: pointer, Text: fmt.Sprintf(format, args...),
	})
}

func (c *checker) check(v *hujson.Value, t reflect.Type, pointer string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		c.duration(v, pointer)
	case t == bytesType || reflect.PointerTo(t).Implements(textType):
		c.leaf(v, t, pointer)
	case t.Kind() == reflect.Struct:
		c.object(v, t, pointer)
	case t.Kind() == reflect.Slice:
		c.array(v, t, pointer)
	default:
		c.leaf(v, t, pointer)
	}
}

func (c *checker) object(v *hujson.Value, t reflect.Type, pointer string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, pointer, "want an object")
		return
	}
	f := fields(t)
	s := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		n := name(m.Name)
		p := pointer + "/" + n
		if s[n] {
			c.add(&m.Name, p, "the field stands twice")
			continue
		}
		s[n] = true
		x, ok := f[n]
		if !ok {
			c.add(&m.Name, p, "unknown field%s", hint(f, n))
			continue
		}
		c.check(&m.Value, x, p)
	}
}

func (c *checker) array(v *hujson.Value, t reflect.Type, pointer string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v, pointer, "want a list")
		return
	}
	for i := range a.Elements {
		c.check(&a.Elements[i], t.Elem(), pointer+"/"+strconv.Itoa(i))
	}
}

func (c *checker) duration(v *hujson.Value, pointer string) {
	const want = `want a duration with a unit, such as "250ms"`
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		c.add(v, pointer, want)
		return
	}
	if _, err := time.ParseDuration(l.String()); err != nil {
		c.add(v, pointer, "%q: %s", l.String(), want)
	}
}

func (c *checker) leaf(v *hujson.Value, t reflect.Type, pointer string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		c.add(v, pointer, "want %s", kind(t))
		return
	}
	if err := codec.Unmarshal(l, reflect.New(t).Interface()); err != nil {
		c.add(v, pointer, "%s: want %s", l, kind(t))
	}
}

// fields returns the types of the fields by their names in JSON.
func fields(t reflect.Type) map[string]reflect.Type {
	r := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		n, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch n {
		case "-":
			continue
		case "":
			n = f.Name
		}
		r[n] = f.Type
	}
	return r
}

func name(v hujson.Value) string {
	l, _ := v.Value.(hujson.Literal) // the parser takes nothing else for a name
	return l.String()
}

// hint names the field that differs only by case: the commonest slip.
func hint(f map[string]reflect.Type, n string) string {
	for k := range f {
		if strings.EqualFold(k, n) {
			return "; did you mean " + k + "?"
		}
	}
	return ""
}

func kind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least zero"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	default:
		if t == prefixType {
			return "an address range, such as \"10.1.0.0/16\""
		}
		return "a value of type " + t.Name()
	}
}
