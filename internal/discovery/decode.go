package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// Message is one message of discovery's, decoded.
type Message struct {
	Revision int64
	Complete bool // it names every server; what it leaves out is gone
	Members  []Member
}

// Member is a server as a message has it.
type Member struct {
	ServerName string // the id, as discovery words it
	Addr       string
	Entry      dw.Endpoint // its Since is Unix time
}

// phases are the states of servers by discovery's names for them.
var phases = map[string]dw.EndpointState{"up": dw.Ready, "draining": dw.Draining, "removed": dw.Removed}

// Decode reads one message. It is an error, and nothing of it is kept, if any member of it can't be used.
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
		return Message{}, errors.New("more follows the list")
	}
	return m, nil
}

// members reads the array of servers; the lock is held.
func (d *Decoder) members(r *jsonReader) ([]Member, error) {
	all := make([]Member, 0, d.last)
	err := r.array(func() error {
		m, err := d.member(r)
		all = append(all, m)
		return err
	})
	d.last = len(all)
	return all, err
}

// member reads one server; the lock is held.
func (d *Decoder) member(r *jsonReader) (m Member, err error) {
	var upSinceMS int64
	f := &d.fields
	f.id, f.addr, f.phase = f.id[:0], f.addr[:0], f.phase[:0]
	err = r.object(func(key string) (err error) {
		switch key {
		case "id":
			f.id, err = r.text(f.id[:0])
		case "host_port":
			f.addr, err = r.text(f.addr[:0])
		case "phase":
			f.phase, err = r.text(f.phase[:0])
		case "locality":
			f.place, err = r.text(f.place[:0])
			m.Entry.Zone = d.zones.place(f.place)
		case "flavor":
			f.place, err = r.text(f.place[:0])
			m.Entry.Kind = d.kinds.place(f.place)
		case "cell":
			var cell int64
			cell, err = r.integer()
			m.Entry.Cell = int(cell)
		case "size":
			m.Entry.Rating, err = r.number()
		case "up_since_ms":
			upSinceMS, err = r.integer()
		default:
			err = r.SkipValue()
		}
		return err
	})
	if err != nil {
		return m, err
	}
	state, known := phases[string(f.phase)]
	if len(f.id) == 0 || !known || len(f.addr) == 0 && state != dw.Removed {
		return m, fmt.Errorf("members: id %q has host_port %q, phase %q", f.id, f.addr, f.phase)
	}
	m.Entry.State, m.Entry.StartedAt = state, core.FromUnixMS(upSinceMS)
	m.ServerName, m.Entry.ID = d.intern(f.id)
	m.Addr = d.address(m.Entry.ID, f.addr)
	return m, nil
}

// fields are buffers for the texts of one member, which are used again for the next.
type fields struct{ id, addr, phase, place []byte }

// jsonReader reads values of the kinds that a list has. Null stands for a value that is left out.
type jsonReader struct{ *jsontext.Decoder }

// object reads an object, and calls field with the reader at the value of each key.
func (r *jsonReader) object(field func(key string) error) error {
	return r.each('{', func() error {
		key, err := r.ReadValue()
		if err != nil {
			return err
		}
		name := key[1 : len(key)-1]
		if bytes.IndexByte(name, '\\') >= 0 {
			if name, err = jsontext.AppendUnquote(nil, key); err != nil {
				return err
			}
		}
		return field(string(name))
	})
}

// array reads an array, and calls item with the reader at each value.
func (r *jsonReader) array(item func() error) error { return r.each('[', item) }

// each reads an object or array, and calls next while there is more in it.
func (r *jsonReader) each(open jsontext.Kind, next func() error) error {
	begin, err := r.ReadToken()
	if err != nil {
		return err
	}
	switch begin.Kind() {
	case 'n':
		return nil
	case open:
	default:
		return r.unlike(open.String(), begin.Kind())
	}
	for kind := r.PeekKind(); kind != '}' && kind != ']'; kind = r.PeekKind() {
		if err := next(); err != nil {
			return err
		}
	}
	_, err = r.ReadToken()
	return err
}

func (r *jsonReader) unlike(want string, got jsontext.Kind) error {
	return fmt.Errorf("%s: %s does not belong here, but %s", r.StackPointer(), got, want)
}

// scalar reads a value of a kind; null gives none.
func (r *jsonReader) scalar(kinds string) (jsontext.Value, error) {
	v, err := r.ReadValue()
	if err != nil || v.Kind() == 'n' {
		return nil, err
	}
	if !bytes.ContainsRune([]byte(kinds), rune(v.Kind())) {
		return nil, r.unlike(jsontext.Kind(kinds[0]).String(), v.Kind())
	}
	return v, nil
}

// text appends a string's text to b.
func (r *jsonReader) text(b []byte) ([]byte, error) {
	v, err := r.scalar(`"`)
	if err != nil || v == nil {
		return b, err
	}
	if plain := v[1 : len(v)-1]; bytes.IndexByte(plain, '\\') < 0 {
		return append(b, plain...), nil
	}
	return jsontext.AppendUnquote(b, v)
}

func (r *jsonReader) integer() (int64, error) {
	v, err := r.scalar("0")
	if err != nil || v == nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", r.StackPointer(), err)
	}
	return n, nil
}

func (r *jsonReader) number() (float64, error) {
	v, err := r.scalar("0")
	if err != nil || v == nil {
		return 0, err
	}
	n, err := strconv.ParseFloat(string(v), 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", r.StackPointer(), err)
	}
	return n, nil
}

func (r *jsonReader) boolean() (bool, error) {
	v, err := r.scalar("tf")
	return v != nil && v.Kind() == 't', err
}
