package discovery

import (
	dw "dewhitch"
	"dewhitch/internal/core"
)

// view holds the list that the planner has received. It computes the changes that a message makes to this list, so that
// a complete list costs the rest of the gateway no more than the changes in it. It is owned by the goroutine of Client.Run.
type view struct {
	decoder    *Decoder
	synced     bool // true once the planner has received a complete list from the director
	members    map[dw.ServerID]viewEntry
	generation uint64 // number of complete lists applied so far
}

// viewEntry is a server of the view.
type viewEntry struct {
	ListedServer
	generation uint64 // view's generation when a message last listed this server
}

func newView(d *Decoder) *view { return &view{decoder: d, members: map[dw.ServerID]viewEntry{}} }

// apply applies a message to the view and returns the changes. For the first complete list it returns a full list, as the
// planner may hold servers that the view doesn't know; for any other message it returns a delta.
func (v *view) apply(m Message) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: m.Revision}, Complete: m.Complete}
	if m.Complete {
		v.generation++
		if !v.synced {
			out.List.Kind = dw.ListFull
		}
	}
	for _, s := range m.Members {
		v.applyMember(&out, s)
	}
	if m.Complete {
		v.removeUnlisted(&out)
		v.synced = true
	}
	return out
}

// applyRestrictions applies only those servers of a stale message that are not ready, and ignores the ready ones. Sending no
// new requests to a server is safe even if its state in the message is out of date. The update has the given version.
func (v *view) applyRestrictions(m Message, version int64) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: version}}
	for _, s := range m.Members {
		if s.Entry.State != dw.Ready {
			v.applyMember(&out, s)
		}
	}
	return out
}

// applyMember updates the view with a server, and appends the server to out if it changed.
func (v *view) applyMember(out *core.EndpointUpdate, s ListedServer) {
	old, known := v.members[s.Entry.ID]
	if s.Entry.State == dw.Removed {
		delete(v.members, s.Entry.ID)
		v.decoder.release(s.Entry.ID)
		appendMember(out, s)
		return
	}
	v.members[s.Entry.ID] = viewEntry{s, v.generation}
	if !known || old.ListedServer != s || out.List.Kind == dw.ListFull {
		appendMember(out, s)
	}
}

// removeUnlisted removes the servers that are missing from the last complete list, and appends them to out as removed.
func (v *view) removeUnlisted(out *core.EndpointUpdate) {
	for id, s := range v.members {
		if s.generation == v.generation {
			continue
		}
		delete(v.members, id)
		v.decoder.release(id)
		s.Entry.State = dw.Removed
		appendMember(out, s.ListedServer)
	}
	v.decoder.releaseUnlisted(v.members)
}

func appendMember(out *core.EndpointUpdate, s ListedServer) {
	out.List.Servers = append(out.List.Servers, s.Entry)
	out.Addrs = append(out.Addrs, s.Addr)
}
