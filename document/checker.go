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

// checker compares a document with the type that it is decoded into. It reports all
// mistakes, whereas a JSON decoder stops at the first one.
type checker struct {
	document *Document
	mistakes []mistake.Mistake
}

func elementType(v any) reflect.Type {
	return reflect.TypeOf(v).Elem()
}

func (c *checker) addMistake(v *hujson.Value, pointer, format string, args ...any) {
	c.mistakes = append(c.mistakes, mistake.Mistake{
		Line: c.document.lineAtOffset(v.StartOffset), Field: pointer, Text: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkValue(v *hujson.Value, t reflect.Type, pointer string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		c.checkDuration(v, pointer)
	case t == bytesType || reflect.PointerTo(t).Implements(textType):
		c.checkScalar(v, t, pointer)
	case t.Kind() == reflect.Struct:
		c.checkObject(v, t, pointer)
	case t.Kind() == reflect.Slice:
		c.checkArray(v, t, pointer)
	default:
		c.checkScalar(v, t, pointer)
	}
}

func (c *checker) checkObject(v *hujson.Value, t reflect.Type, pointer string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addMistake(v, pointer, "want an object")
		return
	}
	f := fieldTypes(t)
	s := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		n := memberName(m.Name)
		p := pointer + "/" + n
		if s[n] {
			c.addMistake(&m.Name, p, "the field stands twice")
			continue
		}
		s[n] = true
		x, ok := f[n]
		if !ok {
			c.addMistake(&m.Name, p, "unknown field%s", suggestion(f, n))
			continue
		}
		c.checkValue(&m.Value, x, p)
	}
}

func (c *checker) checkArray(v *hujson.Value, t reflect.Type, pointer string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.addMistake(v, pointer, "want a list")
		return
	}
	for i := range a.Elements {
		c.checkValue(&a.Elements[i], t.Elem(), pointer+"/"+strconv.Itoa(i))
	}
}

func (c *checker) checkDuration(v *hujson.Value, pointer string) {
	const want = `want a duration with a unit, such as "250ms"`
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		c.addMistake(v, pointer, want)
		return
	}
	if _, err := time.ParseDuration(l.String()); err != nil {
		c.addMistake(v, pointer, "%q: %s", l.String(), want)
	}
}

func (c *checker) checkScalar(v *hujson.Value, t reflect.Type, pointer string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		c.addMistake(v, pointer, "want %s", expectedValue(t))
		return
	}
	if err := codec.Unmarshal(l, reflect.New(t).Interface()); err != nil {
		c.addMistake(v, pointer, "%s: want %s", l, expectedValue(t))
	}
}

// fieldTypes returns the types of a struct's fields by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
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

func memberName(v hujson.Value) string {
	l, _ := v.Value.(hujson.Literal) // the parser accepts only literals as names
	return l.String()
}

// suggestion returns the name of a field that differs from n only in case, which is
// the most common mistake.
func suggestion(f map[string]reflect.Type, n string) string {
	for k := range f {
		if strings.EqualFold(k, n) {
			return "; did you mean " + k + "?"
		}
	}
	return ""
}

// expectedValue describes in an error message which values a type accepts.
func expectedValue(t reflect.Type) string {
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
