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

// Message is a decoded message of the director: a complete list or a delta.
type Message struct {
	Revision int64
	Complete bool // true if the message lists every server, so that servers missing from it are removed
	Members  []ListedServer
}

// ListedServer is a server as listed in a message.
type ListedServer struct {
	ServerName string      // server's id in the director's form
	Addr       string      // server's address as host:port; may be empty if the server is removed
	Entry      dw.Endpoint // server's entry in the endpoint list; its StartedAt is Unix time
}

// endpointStates maps the director's phases to states of servers.
var endpointStates = map[string]dw.EndpointState{"up": dw.Ready, "draining": dw.Draining, "removed": dw.Removed}

// Names holds the names of zones and kinds from the settings, in their order.
type Names struct{ Zones, Kinds []string }

// Decoder decodes the director's messages and assigns numbers to servers. It is safe for concurrent use: operators' calls look
// ids up while the client decodes.
type Decoder struct {
	mu        sync.Mutex // guards all fields
	zones     nameIndex
	kinds     nameIndex
	ids       map[string]dw.ServerID // server's number by its id in the director's form
	servers   map[dw.ServerID]serverStrings
	lastCount int       // number of members in the last message
	raw       rawMember // fields of the member that is being decoded
}

// NewDecoder returns a decoder for lists that use the given names.
func NewDecoder(n Names) *Decoder {
	return &Decoder{
		zones:   newNameIndex(n.Zones),
		kinds:   newNameIndex(n.Kinds),
		ids:     map[string]dw.ServerID{},
		servers: map[dw.ServerID]serverStrings{},
	}
}

// DecodeConfigured decodes the list in the configuration, which may be out of date. Empty text gives an empty list.
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

// Decode decodes one message. If any member is invalid, it returns an error and an empty message, as a partly decoded list would
// remove servers.
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

// members reads the array of servers. The caller holds the lock.
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

// member reads one server. The caller holds the lock.
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

// rawMember holds the fields of a member while it is read. Its buffers are reused, so that decoding a known server allocates
// nothing.
type rawMember struct {
	id, addr, phase []byte
	name            []byte // name of the zone or kind that is being read
	entry           dw.Endpoint
	upSinceMS       int64 // server's start as Unix time in milliseconds
}

// reset clears the fields and keeps their buffers.
func (m *rawMember) reset() {
	*m = rawMember{id: m.id[:0], addr: m.addr[:0], phase: m.phase[:0], name: m.name[:0]}
}

// readField reads the value of one key of a server into raw. The caller holds the lock.
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
