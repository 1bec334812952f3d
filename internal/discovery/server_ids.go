package discovery

import (
	"strconv"
	"strings"

	dw "dewhitch"
)

// serverName is what is known of a server by its number.
type serverName struct{ id, addr string }

// assignID gives the server of an id its number, and the id as an interned string. The number is the one in an id such as
// s-5be2a07c, which is the same at all gateways; an id of another form gets the next number that is free. The lock is held.
func (d *Decoder) assignID(text []byte) (string, dw.ServerID) {
	if n, ok := d.ids[string(text)]; ok {
		return d.servers[n].id, n
	}
	id := string(text)
	v, err := parseServerID(id)
	n := dw.ServerID(v)
	if err != nil {
		n++
	}
	for d.inUse(n) {
		n++
	}
	d.ids[id] = n
	d.servers[n] = serverName{id: id}
	return id, n
}

// internAddr is a server's address as an interned string; the lock is held.
func (d *Decoder) internAddr(n dw.ServerID, addr []byte) string {
	s := d.servers[n]
	if s.addr != string(addr) {
		s.addr = string(addr)
		d.servers[n] = s
	}
	return s.addr
}

// parseServerID is the number in an id such as s-5be2a07c.
func parseServerID(id string) (uint64, error) {
	_, digits, _ := strings.Cut(id, "-")
	return strconv.ParseUint(digits, 16, 32)
}

// Lookup finds the number of an id as discovery gives it: one of the form s-5be2a07c whether or not it is listed now,
// another only while it is.
func (d *Decoder) Lookup(id string) (dw.ServerID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := d.ids[id]; ok {
		return n, true
	}
	v, err := parseServerID(id)
	return dw.ServerID(v), err == nil && !d.inUse(dw.ServerID(v))
}

// inUse reports whether a server has the number; the lock is held.
func (d *Decoder) inUse(n dw.ServerID) bool {
	_, used := d.servers[n]
	return used
}

// release frees the number of a server that was removed. Otherwise the numbers would pile up, as new servers have new ids.
func (d *Decoder) release(n dw.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ids, d.servers[n].id)
	delete(d.servers, n)
}

// releaseUnlisted frees the numbers of servers that are not in members: those of messages that could not be used.
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
