package discovery

import (
	dw "dewhitch"
	"dewhitch/internal/core"
)

// view is the list as the planner has been told it. From a message it works out what changes: a whole list costs the rest
// of the gateway no more than the changes in it. It is the client's own.
type view struct {
	decoder *Decoder
	whole   bool // the planner was told a whole list since its start
	members map[dw.ServerID]seenMember
	round   uint64 // of whole lists
}

// seenMember is a server of the view.
type seenMember struct {
	Member
	round uint64 // of the last whole list that named it
}

func newView(d *Decoder) *view { return &view{decoder: d, members: map[dw.ServerID]seenMember{}} }

// change takes a message into the view, and returns what changes by it.
func (v *view) change(m Message) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: m.Revision}, Complete: m.Complete}
	if m.Complete {
		v.round++
		if !v.whole { // the planner may hold servers that the view does not know
			out.List.Kind = dw.ListFull
		}
	}
	for _, s := range m.Members {
		v.put(&out, s)
	}
	if m.Complete {
		v.dropOthers(&out)
		v.whole = true
	}
	return out
}

// put takes a server into the view, and into out if it changes.
func (v *view) put(out *core.EndpointUpdate, s Member) {
	old, known := v.members[s.Entry.ID]
	if s.Entry.State == dw.Removed {
		delete(v.members, s.Entry.ID)
		v.decoder.forget(s.Entry.ID)
		appendMember(out, s)
		return
	}
	v.members[s.Entry.ID] = seenMember{s, v.round}
	if !known || old.Member != s || out.List.Kind == dw.ListFull {
		appendMember(out, s)
	}
}

// dropOthers drops the servers that the last whole list has left out: they are gone.
func (v *view) dropOthers(out *core.EndpointUpdate) {
	for id, s := range v.members {
		if s.round == v.round {
			continue
		}
		delete(v.members, id)
		v.decoder.forget(id)
		s.Entry.State = dw.Removed
		appendMember(out, s.Member)
	}
	v.decoder.retain(v.members)
}

// forbids is what a message that is not to be believed says of servers that get nothing new; the view is changed by that
// alone.
func (v *view) forbids(m Message, version int64) core.EndpointUpdate {
	out := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: version}}
	for _, s := range m.Members {
		if s.Entry.State != dw.Ready {
			v.put(&out, s)
		}
	}
	return out
}

func appendMember(out *core.EndpointUpdate, s Member) {
	out.List.Servers = append(out.List.Servers, s.Entry)
	out.Addrs = append(out.Addrs, s.Addr)
}

// Known reads the list that the configuration holds, which may be out of date, or missing.
func (d *Decoder) Known(text []byte) (core.EndpointUpdate, error) {
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
