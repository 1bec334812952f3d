package golden

import (
	"fmt"
	"reflect"
	"testing"
)

// Filled fails the test if a field of v, or of what v holds, has the zero value: a form that is compared has to have a value in
// each field, also in one that is added later. Unexported fields and embedded pointers are looked into like all others.
func Filled(t testing.TB, v any) {
	t.Helper()
	filled(t, fmt.Sprintf("%T", v), reflect.ValueOf(v))
}

func filled(t testing.TB, at string, v reflect.Value) {
	t.Helper()
	if !v.IsValid() || v.IsZero() {
		t.Errorf("%s has no value", at)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		filled(t, at, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			filled(t, at+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", at)
			return
		}
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Struct {
			return // a number in a list may be zero
		}
		if v.Kind() == reflect.Map {
			for _, k := range v.MapKeys() {
				filled(t, fmt.Sprintf("%s[%v]", at, k), v.MapIndex(k))
			}
			return
		}
		for i := range v.Len() {
			filled(t, fmt.Sprintf("%s[%d]", at, i), v.Index(i))
		}
	}
}
