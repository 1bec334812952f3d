package zookeeper

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Constants of the protocol, from ZooKeeper's ZooDefs, KeeperException and Watcher.
const (
	opCreate     = 1
	opDelete     = 2
	opExists     = 3
	opGetData    = 4
	opPing       = 11
	opChildren2  = 12
	opSetWatches = 101
	opClose      = -11

	errUnimplemented = -6
	errNoNode        = -101
	errNodeExists    = -110

	eventCreated         = 1
	eventDeleted         = 2
	eventChildrenChanged = 4

	flagEphemeral      = 1  // flag of a create request
	watchEventXid      = -1 // xid of a watch event, in place of a request's xid
	stateSyncConnected = 3  // session state in a watch event
)

// writeFrame writes a frame: the length of the encoded values, then the values. It ignores a write error, as the connection's
// reader fails then too.
func writeFrame(w io.Writer, values ...any) {
	var b bytes.Buffer
	for _, v := range values {
		switch v := v.(type) {
		case string:
			binary.Write(&b, binary.BigEndian, int32(len(v)))
			b.WriteString(v)
		case []byte:
			binary.Write(&b, binary.BigEndian, int32(len(v)))
			b.Write(v)
		default:
			binary.Write(&b, binary.BigEndian, v)
		}
	}
	w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(b.Len())), b.Bytes()...))
}

// requestFrame is the unread part of a request. Reads beyond its end return zero values.
type requestFrame struct{ *bytes.Reader }

// readFrame reads one request: its length, then its content.
func readFrame(r io.Reader) (requestFrame, error) {
	var size int32
	if err := binary.Read(r, binary.BigEndian, &size); err != nil {
		return requestFrame{}, err
	}
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return requestFrame{bytes.NewReader(b)}, err
}

// readInt reads an int32.
func (f requestFrame) readInt() (v int32) {
	binary.Read(f, binary.BigEndian, &v)
	return v
}

// readString reads a string or buffer; a negative length stands for an empty one.
func (f requestFrame) readString() string {
	b := make([]byte, max(0, f.readInt()))
	io.ReadFull(f, b)
	return string(b)
}
