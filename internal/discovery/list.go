// Package discovery follows the discovery service's list of the backends.
package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// list is one message of discovery.
type list struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []entry `json:"members"`
}

type entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

var phases = map[string]dw.ServerState{"up": dw.Ready, "draining": dw.Draining, "removed": dw.Gone}

// Names are the settings' words for zones and kinds, in their order.
type Names struct{ Zones, Kinds []string }

// Decoder turns discovery's messages into the module's terms.
type Decoder struct {
	names Names
	mu    sync.Mutex // operators look ids up while the client decodes
	ids   map[string]dw.ServerID
}

// NewDecoder makes a decoder.
func NewDecoder(n Names) *Decoder {
	return &Decoder{names: n, ids: map[string]dw.ServerID{}}
}

// id is the number in an id such as s-5be2a07c, which is the same at all gateways; an id of another form gets
// the next number that is free.
func (d *Decoder) id(s string) dw.ServerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.ids[s]; ok {
		return n
	}
	v, err := number(s)
	n := dw.ServerID(v)
	for taken := err != nil; ; taken = true {
		if taken {
			n++
		}
		if !d.holds(n) {
			break
		}
	}
	d.ids[s] = n
	return n
}

func number(s string) (uint64, error) {
	_, digits, _ := strings.Cut(s, "-")
	return strconv.ParseUint(digits, 16, 32)
}

// Lookup finds the number of an id as discovery gives it: one of the form s-5be2a07c whether or not it is listed now,
// another only while it is.
func (d *Decoder) Lookup(s string) (dw.ServerID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.ids[s]; ok {
		return n, true
	}
	v, err := number(s)
	return dw.ServerID(v), err == nil && !d.holds(dw.ServerID(v))
}

func (d *Decoder) holds(n dw.ServerID) bool {
	for _, old := range d.ids {
		if old == n {
			return true
		}
	}
	return false
}

// place is the index of a zone or kind. Discovery may give the whole word, or its part behind a dash.
func place(words []string, s string) int {
	i := slices.IndexFunc(words, func(w string) bool { return w == s || strings.HasSuffix(w, "-"+s) })
	return max(0, i)
}

// Decode reads one message.
func (d *Decoder) Decode(text []byte) (core.Listing, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return core.Listing{}, err
	}
	out := core.Listing{List: dw.ServerList{Kind: dw.ListDelta, Version: l.Revision}}
	if l.Complete {
		out.List.Kind = dw.ListFull
	}
	for _, m := range l.Members {
		state, known := phases[m.Phase]
		if m.ID == "" || !known || m.HostPort == "" && state != dw.Gone {
			return core.Listing{}, fmt.Errorf("members: id %q has host_port %q, phase %q", m.ID, m.HostPort, m.Phase)
		}
		out.List.Servers = append(out.List.Servers, dw.ServerEntry{ID: d.id(m.ID), Cell: m.Cell,
			Zone: place(d.names.Zones, m.Locality), Kind: place(d.names.Kinds, m.Flavor),
			Since: core.FromUnixMS(m.UpSinceMS), Rating: m.Size, State: state})
		out.Addrs = append(out.Addrs, m.HostPort)
	}
	d.forget(l)
	return out, nil
}

// forget drops the ids that have gone from the list: new backends come under new ids all day.
func (d *Decoder) forget(l list) {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		if named[m.ID] = true; phases[m.Phase] == dw.Gone {
			delete(d.ids, m.ID)
		}
	}
	if l.Complete {
		maps.DeleteFunc(d.ids, func(id string, _ dw.ServerID) bool { return !named[id] })
	}
}

// Known reads the list that the configuration holds, which may be out of date, or missing.
func (d *Decoder) Known(text []byte) (core.Listing, error) {
	if len(text) == 0 {
		return core.Listing{List: dw.ServerList{Kind: dw.ListCached}}, nil
	}
	l, err := d.Decode(text)
	l.List.Kind = dw.ListCached
	return l, err
}
