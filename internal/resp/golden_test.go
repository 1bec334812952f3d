package resp

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenValues compares the encoding of each kind of value with a golden file, and checks that the same bytes decode to the value.
// Clients, backends, and other versions of gateways and forwarders read and write these values.
func TestGoldenValues(t *testing.T) {
	b := AppendBulk(nil, "bulk\r\n1")
	b = AppendBulk(b, []byte{})
	b = AppendBulk(AppendInt(AppendArray(b, 2), -7), "x")
	b = AppendArray(b, 0)
	b = AppendInt(b, math.MaxInt64)
	b = AppendStatus(b, "PONG")
	b = AppendError(b, "BUSY 20")
	b = AppendError(b, "ERR a\r\n+PONG")
	b = AppendStatus(b, strings.Repeat("x", MaxLine+9))
	for _, v := range []float64{2.5, -1.25, 9.9996, -0.0001, 1e21, 0} {
		b = AppendNumber(b, v)
	}
	b = append(append(AppendBulkHeader(b, 3), "abc"...), BulkEnd...)
	values := []Value{
		{Kind: Bulk, Text: []byte("bulk\r\n1")},
		{Kind: Bulk, Text: []byte{}},
		{Kind: Array, Len: 2, Items: []Value{{Kind: Integer, Int: -7}, {Kind: Bulk, Text: []byte("x")}}},
		{Kind: Array},
		{Kind: Integer, Int: math.MaxInt64},
		{Kind: Status, Text: []byte("PONG")},
		{Kind: Error, Text: []byte("BUSY 20")},
		{Kind: Error, Text: []byte("ERR a  +PONG")},
		{Kind: Status, Text: []byte(strings.Repeat("x", MaxLine-1))},
	}
	r := NewReader(strings.NewReader(string(b)), 0)
	for i, want := range values {
		got, err := r.ReadValue()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("value %d: %v\n got %+v\nwant %+v", i+1, err, got, want)
		}
		b = AppendValue(b, want)
	}
	b = AppendValue(b, Value{Kind: Bulk, Null: true})
	golden.Compare(t, "values.txt", AppendValue(b, Value{Kind: Array, Null: true}))
}
