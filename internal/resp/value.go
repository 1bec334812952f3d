package resp

import "bytes"

// ReadValue reads one answer.
func (r *Reader) ReadValue() (Value, error) { return r.value(0) }

// ReadAnswer reads one answer, but for an array that begins with a bulk string of over MaxBulk bytes: of that it reads up to the
// string's first byte, and returns the string's length as large. Read then gives the string, and ReadRest what follows it.
func (r *Reader) ReadAnswer() (v Value, large int, err error) {
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

// bulkUnlessLarge reads a bulk string, but of one of over MaxBulk bytes the length alone.
func (r *Reader) bulkUnlessLarge() (v Value, large int, err error) {
	header, err := r.line()
	if err != nil {
		return v, 0, midMessageEOF(err, true)
	}
	n, err := parseLength(header[1:], MaxValue)
	if err != nil {
		return v, 0, err
	}
	if n > MaxBulk {
		return v, n, nil
	}
	v = Value{Kind: Bulk, Null: n < 0}
	if n >= 0 {
		v.Text, err = r.bulk(n)
	}
	return v, 0, err
}

// ReadRest reads what follows a large bulk string that was read to its last byte: its end, and the array's other items.
func (r *Reader) ReadRest(v *Value) error {
	end, err := r.bulk(0)
	if err != nil {
		return err
	}
	v.Items = append(v.Items, Value{Kind: Bulk, Text: end})
	return r.items(v, 0)
}

// arrayHeader reads an array's first line.
func (r *Reader) arrayHeader() (v Value, err error) {
	header, err := r.line()
	if err != nil {
		return v, midMessageEOF(err, false)
	}
	n, err := parseLength(header[1:], MaxArgs)
	return Value{Kind: Array, Len: n, Null: n < 0}, err
}

// items reads the items of an array that are not read yet.
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

// value reads a value; of an array that breaks off, what was read of it comes with the error.
func (r *Reader) value(depth int) (v Value, err error) {
	if b, err := r.Peek(); err == nil && bytes.IndexByte(kinds, b) < 0 { // what is no RESP need not have a line's end
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
		if err != nil { // the line was complete, so what follows can be read
			v.Text = append([]byte(nil), text...)
			err = nil
		}
	case Bulk:
		var n int
		n, err = parseLength(text, MaxBulk)
		if err == nil && n >= 0 {
			v.Text, err = r.bulk(n)
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
