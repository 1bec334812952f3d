package discovery

import (
	"strconv"
	"strings"

	dw "dewhitch"
)

// serverStrings holds the interned id and address of a server.
type serverStrings struct{ id, addr string }

// assignID returns an id as an interned string and the server's number. For an id such as s-5be2a07c, that is the number in it,
// so that it is the same at all gateways; an id of any other form gets the next free number. The caller holds the lock.
func (d *Decoder) assignID(rawID []byte) (string, dw.ServerID) {
	if n, ok := d.ids[string(rawID)]; ok {
		return d.servers[n].id, n
	}
	id := string(rawID)
	parsed, err := parseServerID(id)
	n := dw.ServerID(parsed)
	if err != nil {
		n++
	}
	for d.inUse(n) {
		n++
	}
	d.ids[id] = n
	d.servers[n] = serverStrings{id: id}
	return id, n
}

// internAddr stores a server's address and returns it as an interned string. The caller holds the lock.
func (d *Decoder) internAddr(n dw.ServerID, addr []byte) string {
	s := d.servers[n]
	if s.addr != string(addr) {
		s.addr = string(addr)
		d.servers[n] = s
	}
	return s.addr
}

// parseServerID returns the number in an id such as s-5be2a07c, or an error for an id of any other form.
func parseServerID(id string) (uint64, error) {
	_, digits, _ := strings.Cut(id, "-")
	return strconv.ParseUint(digits, 16, 32)
}

// Lookup returns the number of a server by its id in the director's form, and true if it found the number. An id such as
// s-5be2a07c contains its number, which is found whether or not the server is listed, unless another server uses it. Any other
// id is found only while its server is listed.
func (d *Decoder) Lookup(id string) (dw.ServerID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.ids[id]; ok {
		return n, true
	}
	parsed, err := parseServerID(id)
	return dw.ServerID(parsed), err == nil && !d.inUse(dw.ServerID(parsed))
}

// inUse returns true if a server has the number. The caller holds the lock.
func (d *Decoder) inUse(n dw.ServerID) bool {
	_, used := d.servers[n]
	return used
}

// release frees the number of a removed server. As new servers have new ids, numbers would accumulate otherwise.
func (d *Decoder) release(n dw.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ids, d.servers[n].id)
	delete(d.servers, n)
}

// releaseUnlisted frees the numbers of servers that are not in members. Messages that could not be used leave such numbers.
func (d *Decoder) releaseUnlisted(members map[dw.ServerID]viewEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.servers) == len(members) {
		return
	}
	for n, s := range d.servers {
		if _, listed := members[n]; !listed {
			delete(d.ids, s.id)
			delete(d.servers, n)
		}
	}
}
