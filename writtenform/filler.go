package writtenform

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/shoenig/test/must"
)

// filler sets every field that is written as JSON. The values are numbered in
// field order and do not contain field names.
type filler struct {
	t         *testing.T
	n         int
	enclosing []reflect.Type // the structs being filled, outermost first
}

func (f *filler) fill(v reflect.Value) {
	f.n++
	if f.fillKnownType(v) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.fillStruct(v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(k)
		f.fill(e)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(k, e)
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("text ", f.n))
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(int64(f.n))
	case v.CanUint():
		v.SetUint(uint64(f.n))
	case v.CanFloat():
		v.SetFloat(float64(f.n) + 0.5)
	default:
		must.Unreachable(f.t, must.Sprintf("no test value for type %s", v.Type()))
	}
	must.False(f.t, v.IsZero())
}

// fillKnownType sets types that are not written according to their
// reflect.Kind, such as time.Time.
func (f *filler) fillKnownType(v reflect.Value) bool {
	switch p := v.Addr().Interface().(type) {
	case *time.Duration:
		*p = time.Duration(f.n) * time.Millisecond
	case *time.Time:
		*p = time.Date(2001, time.February, 3, 4, 5, f.n, 0, time.UTC)
	case *netip.Prefix:
		*p = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(f.n), 0}), 24)
	case *[]byte:
		*p = fmt.Append(nil, "bytes ", f.n)
	case *jsontext.Value:
		*p = fmt.Append(nil, f.n)
	case encoding.TextUnmarshaler, json.Unmarshaler, json.UnmarshalerFrom:
		must.Unreachable(f.t, must.Sprintf("no test value for type %s", v.Type()))
	default:
		return false
	}
	return true
}

// fillStruct fills the exported fields of a struct. fillSlice ends the
// recursion of types that contain themselves.
func (f *filler) fillStruct(v reflect.Value) {
	f.enclosing = append(f.enclosing, v.Type())
	for i := range v.NumField() {
		if s := v.Type().Field(i); s.IsExported() && s.Tag.Get("json") != "-" {
			f.fill(v.Field(i))
		}
	}
	f.enclosing = f.enclosing[:len(f.enclosing)-1]
}

func (f *filler) fillSlice(v reflect.Value) {
	e := v.Type().Elem()
	if slices.Contains(f.enclosing, e) {
		return
	}
	n := 2
	if e.Kind() == reflect.Struct {
		n = 1
	}
	v.Set(reflect.MakeSlice(v.Type(), n, n))
	for i := range n {
		f.fill(v.Index(i))
	}
}
