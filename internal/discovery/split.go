package discovery

import (
	"bytes"
	"errors"
)

// errCut says that a watch ended within a message.
var errCut = errors.New("the watch ended within a message")

// splitMessage finds the messages of a watch, for a bufio.Scanner: one JSON object each, on a line or indented over many.
// White space between two is a token of no length, as it shows that the watch is alive. What is no object goes up to the
// end of its line, for the decoder to refuse.
func splitMessage(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if len(data) == 0 {
		return 0, nil, nil
	}
	if rest := bytes.TrimLeft(data, " \t\r\n"); len(rest) < len(data) {
		return len(data) - len(rest), []byte{}, nil
	}
	end := objectEnd(data)
	if data[0] != '{' {
		end = bytes.IndexByte(data, '\n') + 1
	}
	switch {
	case end > 0:
		return end, data[:end], nil
	case atEOF:
		return 0, nil, errCut
	}
	return 0, nil, nil
}

// objectEnd is where the object ends that data begins with; 0: not yet.
func objectEnd(data []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}
