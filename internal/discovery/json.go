package discovery

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// jsonReader reads values of the kinds that a list has. Null stands for a value that is left out. An error says where it is.
type jsonReader struct{ *jsontext.Decoder }

// object reads an object, and calls field with the reader at the value of each key.
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

// array reads an array, and calls item with the reader at each value.
func (r *jsonReader) array(item func() error) error { return r.each('[', item) }

// each reads an object or array, and calls next while there is more in it.
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

// kindError says that a value is of another kind than its place takes.
func (r *jsonReader) kindError(want string, got jsontext.Kind) error {
	return fmt.Errorf("%s: %s does not belong here, but %s", r.StackPointer(), got, want)
}

// scalar reads a value of one of the kinds, given by their first bytes; null gives none.
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

// text appends a string's text to b.
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

// integer reads an integer; null gives 0.
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

// number reads a number; null gives 0.
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

// boolean reads true or false; null gives false.
func (r *jsonReader) boolean() (bool, error) {
	v, err := r.scalar("tf")
	return v != nil && v.Kind() == 't', err
}
