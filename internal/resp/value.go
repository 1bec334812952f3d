package resp

import "bytes"

// ReadValue reads one answer, with bulk strings of at most MaxBulk bytes.
func (r *Reader) ReadValue() (Value, error) {
	r.arrayBytes = 0
	return r.value(0)
}

// ReadAnswer reads one answer. If the answer is an array that begins with a bulk string of over MaxBulk bytes, or one that MustStream
// names, it stops before the string's first byte and returns the string's length as large. The caller then reads the string with Read and the rest of the array
// with ReadRest. Otherwise, large is 0.
func (r *Reader) ReadAnswer() (v Value, large int, err error) {
	r.arrayBytes = 0
	if b, err := r.Peek(); err != nil || Kind(b) != Array {
		v, err = r.value(0)
		return v, 0, err
	}
	v, err = r.arrayHeader()
	if err != nil || v.Len <= 0 {
		return v, 0, err
	}
	if b, err := r.Peek(); err == nil && Kind(b) == Bulk {
		first, large, err := r.bulkUnlessLarge()
		if err != nil || large > 0 {
			return v, large, err
		}
		v.Items = append(v.Items, first)
	}
	err = r.items(&v, 0)
	return v, 0, err
}

// bulkUnlessLarge reads a bulk string. If it has over MaxBulk bytes, or is to be streamed, it reads only the header and returns the length as large.
func (r *Reader) bulkUnlessLarge() (v Value, large int, err error) {
	header, err := r.line()
	if err != nil {
		return v, 0, midMessageEOF(err, true)
	}
	n, err := parseLength(header[1:], MaxValue)
	if err != nil {
		return v, 0, err
	}
	if n > MaxBulk || n > 0 && r.MustStream != nil && r.MustStream(n) {
		return v, n, nil
	}
	v = Value{Kind: Bulk, Null: n < 0}
	if n >= 0 {
		v.Text, err = r.countedBulk(n)
	}
	return v, 0, err
}

// ReadRest reads the rest of an array after the last byte of a large bulk string was read: the end of the string, and the other items.
func (r *Reader) ReadRest(v *Value) error {
	end, err := r.bulk(0)
	if err != nil {
		return err
	}
	v.Items = append(v.Items, Value{Kind: Bulk, Text: end})
	return r.items(v, 0)
}

// countedBulk counts a bulk string of n bytes and reads it.
func (r *Reader) countedBulk(n int) ([]byte, error) {
	if err := r.countBulk(n, "answer"); err != nil {
		return nil, err
	}
	return r.bulk(n)
}

// arrayHeader reads the first line of an array.
func (r *Reader) arrayHeader() (v Value, err error) {
	header, err := r.line()
	if err != nil {
		return v, midMessageEOF(err, false)
	}
	n, err := parseLength(header[1:], MaxArgs)
	return Value{Kind: Array, Len: n, Null: n < 0}, err
}

// items reads the items of an array that are missing in v.Items.
func (r *Reader) items(v *Value, depth int) error {
	for len(v.Items) < v.Len {
		item, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		v.Items = append(v.Items, item)
	}
	return nil
}

// value reads a value at a depth of nested arrays. If an array breaks off, it returns the items that were read, with the error.
func (r *Reader) value(depth int) (v Value, err error) {
	if b, err := r.Peek(); err == nil && bytes.IndexByte(kinds, b) < 0 { // other input may have no line end: do not wait for one
		return v, protocolError("unknown type %q", b)
	}
	header, err := r.line()
	if err != nil {
		return v, midMessageEOF(err, depth > 0)
	}
	v.Kind = Kind(header[0])
	text := header[1:]
	switch v.Kind {
	case Status, Error:
		v.Text = append([]byte(nil), text...)
	case Integer:
		v.Int, err = parseInteger(text)
		if err != nil { // the line is complete, so the value after it can be read
			v.Text = append([]byte(nil), text...)
			err = nil
		}
	case Bulk:
		var n int
		n, err = parseLength(text, MaxBulk)
		if err == nil && n >= 0 {
			v.Text, err = r.countedBulk(n)
		}
		v.Null = n < 0
	case Array:
		v.Len, err = parseLength(text, MaxArgs)
		if err != nil {
			return v, err
		}
		v.Null = v.Len < 0
		if v.Len > 0 && depth >= maxDepth {
			return v, protocolError("arrays too deep")
		}
		err = r.items(&v, depth)
	}
	return v, err
}
