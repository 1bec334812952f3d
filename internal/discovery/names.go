package discovery

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	dw "dewhitch"
)

// Names are the settings' words for zones and kinds, in their order.
type Names struct{ Zones, Kinds []string }

// Decoder turns discovery's messages into the module's terms. It owns the numbers of servers.
type Decoder struct {
	zones, kinds places
	mu           sync.Mutex // operators look ids up while the client decodes
	numbers      map[string]dw.ServerID
	servers      map[dw.ServerID]serverName
	last         int // members of the last message
	fields       fields
}

// serverName is what is known of a server by its number.
type serverName struct{ id, addr string }

// NewDecoder makes a decoder.
func NewDecoder(n Names) *Decoder {
	return &Decoder{zones: newPlaces(n.Zones), kinds: newPlaces(n.Kinds), numbers: map[string]dw.ServerID{},
		servers: map[dw.ServerID]serverName{}}
}

// intern gives the server of an id its number, and the id as a string of its own. The number is the one in an id such as
// s-5be2a07c, which is the same at all gateways; an id of another form gets the next number that is free. The lock is held.
func (d *Decoder) intern(text []byte) (string, dw.ServerID) {
	if n, ok := d.numbers[string(text)]; ok {
		return d.servers[n].id, n
	}
	id := string(text)
	v, err := number(id)
	n := dw.ServerID(v)
	if err != nil {
		n++
	}
	for d.holds(n) {
		n++
	}
	d.numbers[id], d.servers[n] = n, serverName{id: id}
	return id, n
}

// address is a server's address as a string of its own; the lock is held.
func (d *Decoder) address(n dw.ServerID, addr []byte) string {
	s := d.servers[n]
	if s.addr != string(addr) {
		s.addr = string(addr)
		d.servers[n] = s
	}
	return s.addr
}

func number(id string) (uint64, error) {
	_, digits, _ := strings.Cut(id, "-")
	return strconv.ParseUint(digits, 16, 32)
}

// Lookup finds the number of an id as discovery gives it: one of the form s-5be2a07c whether or not it is listed now,
// another only while it is.
func (d *Decoder) Lookup(id string) (dw.ServerID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.numbers[id]; ok {
		return n, true
	}
	v, err := number(id)
	return dw.ServerID(v), err == nil && !d.holds(dw.ServerID(v))
}

func (d *Decoder) holds(n dw.ServerID) bool {
	_, held := d.servers[n]
	return held
}

// forget drops the number of a server that has gone: new ones come under new ids all day.
func (d *Decoder) forget(n dw.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.numbers, d.servers[n].id)
	delete(d.servers, n)
}

// retain drops the numbers of servers that are in no view, if there are any: those of messages that could not be used.
func (d *Decoder) retain(members map[dw.ServerID]seenMember) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.servers) == len(members) {
		return
	}
	for n, s := range d.servers {
		if _, listed := members[n]; !listed {
			delete(d.numbers, s.id)
			delete(d.servers, n)
		}
	}
}

// places finds the index of a zone or kind by its name.
type places struct {
	words []string
	found map[string]int // by name as discovery has it
}

// mostNames bounds the names that places remembers.
const mostNames = 1024

func newPlaces(words []string) places { return places{words: words, found: map[string]int{}} }

// place is the index of a zone or kind. Discovery may give the whole word, or its part behind a dash.
func (p *places) place(text []byte) int {
	if i, ok := p.found[string(text)]; ok {
		return i
	}
	name := string(text)
	i := max(0, slices.IndexFunc(p.words, func(w string) bool { return w == name || strings.HasSuffix(w, "-"+name) }))
	if len(p.found) < mostNames {
		p.found[name] = i
	}
	return i
}
