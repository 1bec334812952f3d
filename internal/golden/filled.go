package golden

import (
	"fmt"
	"reflect"
	"testing"
)

// Filled fails the test if a field of v, at any depth, has the zero value. It ensures that a golden value has a value in each
// field, including fields that are added later. Unexported fields and embedded pointers are checked too; the elements of a slice
// are checked only if they are structs.
func Filled(t testing.TB, v any) {
	t.Helper()
	checkFilled(t, fmt.Sprintf("%T", v), reflect.ValueOf(v))
}

// checkFilled checks v, whose path from the outermost value is path.
func checkFilled(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if !v.IsValid() || v.IsZero() {
		t.Errorf("%s has no value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		checkFilled(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			checkFilled(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
			return
		}
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Struct {
			return // elements that are numbers may be zero
		}
		if v.Kind() == reflect.Map {
			for _, k := range v.MapKeys() {
				checkFilled(t, fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
			}
			return
		}
		for i := range v.Len() {
			checkFilled(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}
