package discovery

import (
	dw "dewhitch"
	"dewhitch/internal/core"
)

// view is the list as the planner has been given it. From a message it works out what changes, so that a complete list costs
// the rest of the gateway no more than the changes in it. It belongs to the goroutine of Client.Run.
type view struct {
	decoder    *Decoder
	synced     bool // the planner was given a complete list since its start
	members    map[dw.ServerID]viewEntry
	generation uint64 // complete lists so far
}

// viewEntry is a server of the view.
type viewEntry struct {
	ListedServer
	generation uint64 // of the last complete list that named it
}

func newView(d *Decoder) *view { return &view{decoder: d, members: map[dw.ServerID]viewEntry{}} }

// apply takes a message into the view, and returns what changes by it: a full list if it is the first complete one, as the
// planner may hold servers that the view does not know; else a delta.
func (v *view) apply(m Message) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: m.Revision}, Complete: m.Complete}
	if m.Complete {
		v.generation++
		if !v.synced {
			out.List.Kind = dw.ListFull
		}
	}
	for _, s := range m.Members {
		v.put(&out, s)
	}
	if m.Complete {
		v.removeUnlisted(&out)
		v.synced = true
	}
	return out
}

// applyRestrictions takes of a stale message the servers alone that are not ready: to send them nothing new is safe, be it true
// or not. What it says of ready servers is ignored. The update keeps the version given.
func (v *view) applyRestrictions(m Message, version int64) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: version}}
	for _, s := range m.Members {
		if s.Entry.State != dw.Ready {
			v.put(&out, s)
		}
	}
	return out
}

// put takes a server into the view, and into out if it changes.
func (v *view) put(out *core.EndpointUpdate, s ListedServer) {
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

// removeUnlisted removes the servers that the last complete list has left out.
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
