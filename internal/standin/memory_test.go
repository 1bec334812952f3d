package standin

import (
	"encoding/binary"
	"testing"
)

// Guards against a measurement of 4 GiB for a socket whose reserved memory is negative, as the kernel reports it while data is not yet
// charged.
func TestNegativeReserveOfASocket(t *testing.T) {
	attribute := binary.NativeEndian.AppendUint16(nil, 4+9*4)
	attribute = binary.NativeEndian.AppendUint16(attribute, extensionSkMemInfo)
	for _, word := range []int32{1000, 0, 0, 0, -768, 200, 0, 0, 0} {
		attribute = binary.NativeEndian.AppendUint32(attribute, uint32(word))
	}
	if got := memInfoBytes(attribute); got != 1200 {
		t.Errorf("got %d bytes, expected 1200", got)
	}
}
