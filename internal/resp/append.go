package resp

import (
	"math"
	"strconv"
)

// appendHeader appends the first line of a value of kind k, which holds a length or an integer.
func appendHeader(b []byte, k Kind, n int64) []byte {
	return append(strconv.AppendInt(append(b, byte(k)), n, 10), '\r', '\n')
}

// AppendArray appends the header of an array of n items. The caller appends the items.
func AppendArray(b []byte, n int) []byte { return appendHeader(b, Array, int64(n)) }

// AppendInt appends an integer value.
func AppendInt(b []byte, v int64) []byte { return appendHeader(b, Integer, v) }

// AppendBulkHeader appends the header of a bulk string of n bytes. The caller appends the bytes and BulkEnd.
func AppendBulkHeader(b []byte, n int) []byte { return appendHeader(b, Bulk, int64(n)) }

// BulkEnd terminates a bulk string.
const BulkEnd = "\r\n"

// AppendBulk appends a bulk string with its header and its end.
func AppendBulk[T string | []byte](b []byte, s T) []byte {
	b = appendHeader(b, Bulk, int64(len(s)))
	return append(append(b, s...), '\r', '\n')
}

// AppendStatus appends a status line, such as "OK".
func AppendStatus(b []byte, s string) []byte { return appendLine(b, Status, s) }

// AppendError appends an error line, such as "BUSY 20" or "ERR failed".
func AppendError(b []byte, s string) []byte { return appendLine(b, Error, s) }

// appendLine appends a line of kind k, truncated to MaxLine bytes. It replaces CR and LF in s with spaces, because s may contain text
// that a peer sent.
func appendLine(b []byte, k Kind, s string) []byte {
	b = append(b, byte(k))
	for i := range min(len(s), MaxLine-1) {
		if c := s[i]; c == '\r' || c == '\n' {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, '\r', '\n')
}

// AppendNumber appends a decimal number, rounded to thousandths, as a bulk string, because RESP2 has no other form for it. Adding 0
// removes the sign of a negative zero.
func AppendNumber(b []byte, v float64) []byte {
	return AppendBulk(b, strconv.FormatFloat(math.Round(v*1e3)/1e3+0, 'f', -1, 64))
}

// AppendValue appends a value in the form in which it was read.
func AppendValue(b []byte, v Value) []byte {
	switch {
	case v.Null:
		return appendHeader(b, v.Kind, -1)
	case v.Kind == Array:
		b = AppendArray(b, len(v.Items))
		for _, item := range v.Items {
			b = AppendValue(b, item)
		}
		return b
	case v.Kind == Bulk:
		return AppendBulk(b, v.Text)
	case v.Kind == Integer && v.Text == nil:
		return AppendInt(b, v.Int)
	}
	return appendLine(b, v.Kind, string(v.Text))
}
