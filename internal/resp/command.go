package resp

// ReadCommand reads an array of bulk strings. io.EOF means that the stream ended between commands.
func (r *Reader) ReadCommand() (Command, error) {
	head, err := r.line()
	if err != nil {
		return nil, err
	}
	if len(head) == 0 || head[0] != byte(Array) {
		return nil, protocolError("a command is an array")
	}
	n, err := parseLength(head[1:], MaxArgs)
	if err != nil {
		return nil, err
	}
	if n < 1 {
		return nil, protocolError("empty command")
	}
	c := make(Command, n)
	total := 0 // bytes of the words so far
	for i := range c {
		size, err := r.wordLength()
		if err != nil {
			return nil, err
		}
		total += size
		if total > MaxCommand {
			return nil, protocolError("command of over %d bytes", MaxCommand)
		}
		if c[i], err = r.bulk(size); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// wordLength reads the line before a word of a command, and returns the word's length in bytes.
func (r *Reader) wordLength() (int, error) {
	head, err := r.line()
	if err != nil {
		return 0, endError(err, true)
	}
	if len(head) == 0 || head[0] != byte(Bulk) {
		return 0, protocolError("a command holds bulk strings")
	}
	size, err := parseLength(head[1:], MaxBulk)
	if err != nil {
		return 0, err
	}
	if size < 0 {
		return 0, protocolError("null in a command")
	}
	return size, nil
}
