package discovery

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// jsonReader reads the JSON values that occur in a list. It treats null like an omitted value. Its errors contain the position
// of the value.
type jsonReader struct{ *jsontext.Decoder }

// object reads an object. For each key it calls field, which must read the key's value.
func (r *jsonReader) object(field func(key string) error) error {
	return r.each('{', func() error {
		key, err := r.ReadValue()
		if err != nil {
			return err
		}
		name := key[1 : len(key)-1]
		if bytes.IndexByte(name, '\\') >= 0 {
			if name, err = jsontext.AppendUnquote(nil, key); err != nil {
				return err
			}
		}
		return field(string(name))
	})
}

// array reads an array. For each value it calls item, which must read the value.
func (r *jsonReader) array(item func() error) error { return r.each('[', item) }

// each reads an object or array that starts with open, and calls next until its end is reached. It reads null as empty.
func (r *jsonReader) each(open jsontext.Kind, next func() error) error {
	first, err := r.ReadToken()
	if err != nil {
		return err
	}
	switch first.Kind() {
	case 'n':
		return nil
	case open:
	default:
		return r.kindError(open.String(), first.Kind())
	}
	for kind := r.PeekKind(); kind != '}' && kind != ']'; kind = r.PeekKind() {
		if err := next(); err != nil {
			return err
		}
	}
	_, err = r.ReadToken()
	return err
}

// kindError returns an error that the next value has the wrong JSON type.
func (r *jsonReader) kindError(want string, got jsontext.Kind) error {
	return fmt.Errorf("%s: got %s, expected %s", r.StackPointer(), got, want)
}

// scalar reads a value of one of the given kinds, each of which is the first byte of its values. It returns nil for null.
func (r *jsonReader) scalar(kinds string) (jsontext.Value, error) {
	v, err := r.ReadValue()
	if err != nil || v.Kind() == 'n' {
		return nil, err
	}
	if !bytes.ContainsRune([]byte(kinds), rune(v.Kind())) {
		return nil, r.kindError(jsontext.Kind(kinds[0]).String(), v.Kind())
	}
	return v, nil
}

// text reads a string and appends its unquoted text to b; null appends nothing.
func (r *jsonReader) text(b []byte) ([]byte, error) {
	v, err := r.scalar(`"`)
	if err != nil || v == nil {
		return b, err
	}
	if unquoted := v[1 : len(v)-1]; bytes.IndexByte(unquoted, '\\') < 0 {
		return append(b, unquoted...), nil
	}
	return jsontext.AppendUnquote(b, v)
}

// integer reads an integer. It returns 0 for null.
func (r *jsonReader) integer() (int64, error) {
	v, err := r.scalar("0")
	if err != nil || v == nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", r.StackPointer(), err)
	}
	return n, nil
}

// number reads a number. It returns 0 for null.
func (r *jsonReader) number() (float64, error) {
	v, err := r.scalar("0")
	if err != nil || v == nil {
		return 0, err
	}
	n, err := strconv.ParseFloat(string(v), 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", r.StackPointer(), err)
	}
	return n, nil
}

// boolean reads a boolean. It returns false for null.
func (r *jsonReader) boolean() (bool, error) {
	v, err := r.scalar("tf")
	return v != nil && v.Kind() == 't', err
}
