package resp

// ReadCommand reads a command, which is an array of bulk strings. It returns io.EOF if the stream ended between commands, and an
// error that wraps ErrProtocol for anything other than a command within the bounds.
func (r *Reader) ReadCommand() (Command, error) {
	header, err := r.line()
	if err != nil {
		return nil, err
	}
	if len(header) == 0 || header[0] != byte(Array) {
		return nil, protocolError("a command is an array")
	}
	n, err := parseLength(header[1:], MaxArgs)
	if err != nil {
		return nil, err
	}
	if n < 1 {
		return nil, protocolError("empty command")
	}
	c := make(Command, n)
	r.arrayBytes = 0
	for i := range c {
		size, err := r.argLength()
		if err != nil {
			return nil, err
		}
		if err := r.countBulk(size, "command"); err != nil {
			return nil, err
		}
		if c[i], err = r.bulk(size); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// argLength reads the header of an argument of a command, and returns the length of the argument in bytes.
func (r *Reader) argLength() (int, error) {
	header, err := r.line()
	if err != nil {
		return 0, midMessageEOF(err, true)
	}
	if len(header) == 0 || header[0] != byte(Bulk) {
		return 0, protocolError("a command holds bulk strings")
	}
	size, err := parseLength(header[1:], MaxBulk)
	if err != nil {
		return 0, err
	}
	if size < 0 {
		return 0, protocolError("null in a command")
	}
	return size, nil
}
