package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/go-json-experiment/json/jsontext"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// Message is one message of discovery's, decoded: a list, or a change of it.
type Message struct {
	Revision int64
	Complete bool // it names every server; one that it leaves out is removed
	Members  []ListedServer
}

// ListedServer is a server as a message has it.
type ListedServer struct {
	ServerName string      // the id, as discovery words it
	Addr       string      // as host:port; empty: removed
	Entry      dw.Endpoint // its StartedAt is Unix time
}

// endpointStates are the states of servers by discovery's names for them.
var endpointStates = map[string]dw.EndpointState{"up": dw.Ready, "draining": dw.Draining, "removed": dw.Removed}

// Names are the settings' words for zones and kinds, in their order.
type Names struct{ Zones, Kinds []string }

// Decoder turns discovery's messages into the module's terms, and assigns numbers to servers. It is safe for concurrent use:
// operators look ids up while the client decodes.
type Decoder struct {
	mu        sync.Mutex // guards all of it
	zones     nameIndex
	kinds     nameIndex
	ids       map[string]dw.ServerID // by the id as discovery words it
	servers   map[dw.ServerID]serverName
	lastCount int       // members of the last message
	raw       rawMember // buffers of the member that is being decoded
}

// NewDecoder makes a decoder.
func NewDecoder(n Names) *Decoder {
	return &Decoder{
		zones:   newNameIndex(n.Zones),
		kinds:   newNameIndex(n.Kinds),
		ids:     map[string]dw.ServerID{},
		servers: map[dw.ServerID]serverName{},
	}
}

// DecodeConfigured decodes the list that the configuration holds, which may be out of date, or missing.
func (d *Decoder) DecodeConfigured(text []byte) (core.EndpointUpdate, error) {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListCached}}
	if len(text) == 0 {
		return out, nil
	}
	m, err := d.Decode(text)
	if err != nil {
		return out, err
	}
	out.List.Version = m.Revision
	for _, s := range m.Members {
		appendMember(&out, s)
	}
	return out, nil
}

// Decode reads one message. It is an error if any member can't be used, as a list with a part missing would remove servers;
// nothing of the message is returned then.
func (d *Decoder) Decode(text []byte) (Message, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &jsonReader{Decoder: jsontext.NewDecoder(bytes.NewBuffer(text), jsontext.AllowDuplicateNames(true),
		jsontext.AllowInvalidUTF8(true))}
	var m Message
	err := r.object(func(key string) (err error) {
		switch key {
		case "revision":
			m.Revision, err = r.integer()
		case "complete":
			m.Complete, err = r.boolean()
		case "members":
			m.Members, err = d.members(r)
		default:
			err = r.SkipValue()
		}
		return err
	})
	if err != nil {
		return Message{}, err
	}
	if _, err := r.ReadToken(); !errors.Is(err, io.EOF) {
		return Message{}, errTrailing
	}
	return m, nil
}

// members reads the array of servers; the lock is held.
func (d *Decoder) members(r *jsonReader) ([]ListedServer, error) {
	all := make([]ListedServer, 0, d.lastCount)
	err := r.array(func() error {
		m, err := d.member(r)
		all = append(all, m)
		return err
	})
	d.lastCount = len(all)
	return all, err
}

// member reads one server; the lock is held.
func (d *Decoder) member(r *jsonReader) (ListedServer, error) {
	raw := &d.raw
	raw.reset()
	if err := r.object(func(key string) error { return d.readField(r, key, raw) }); err != nil {
		return ListedServer{}, err
	}
	state, known := endpointStates[string(raw.phase)]
	if len(raw.id) == 0 || !known || len(raw.addr) == 0 && state != dw.Removed {
		return ListedServer{}, fmt.Errorf("members: id %q has host_port %q, phase %q", raw.id, raw.addr, raw.phase)
	}
	m := ListedServer{Entry: raw.entry}
	m.Entry.State = state
	m.Entry.StartedAt = core.FromUnixMS(raw.upSinceMS)
	m.ServerName, m.Entry.ID = d.assignID(raw.id)
	m.Addr = d.internAddr(m.Entry.ID, raw.addr)
	return m, nil
}

// rawMember is a member as its fields have been read. Its buffers are reused, so that nothing is allocated for servers that
// are known.
type rawMember struct {
	id, addr, phase []byte
	name            []byte // of the zone or kind that is being read
	entry           dw.Endpoint
	upSinceMS       int64 // Unix time in milliseconds
}

// reset empties it, and keeps the buffers.
func (m *rawMember) reset() {
	*m = rawMember{id: m.id[:0], addr: m.addr[:0], phase: m.phase[:0], name: m.name[:0]}
}

// readField reads the value of one key of a server into raw; the lock is held.
func (d *Decoder) readField(r *jsonReader, key string, raw *rawMember) (err error) {
	switch key {
	case "id":
		raw.id, err = r.text(raw.id[:0])
	case "host_port":
		raw.addr, err = r.text(raw.addr[:0])
	case "phase":
		raw.phase, err = r.text(raw.phase[:0])
	case "locality":
		raw.name, err = r.text(raw.name[:0])
		raw.entry.Zone = d.zones.index(raw.name)
	case "flavor":
		raw.name, err = r.text(raw.name[:0])
		raw.entry.Kind = d.kinds.index(raw.name)
	case "cell":
		var cell int64
		cell, err = r.integer()
		raw.entry.Cell = int(cell)
	case "size":
		raw.entry.Rating, err = r.number()
	case "up_since_ms":
		raw.upSinceMS, err = r.integer()
	default:
		err = r.SkipValue()
	}
	return err
}
