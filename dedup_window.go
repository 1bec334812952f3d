package dewhitch

// The window in which a group of servers drops repeats of a keyed request. It bounds not only when a
// repeat begins but how long any attempt of the request is out: what a slow connection, a partition or a
// stuck server holds up may still run when it gets through, and must then meet a server that remembers the
// other attempt.

// windowEnd is when the servers that may have run r forget it. It does not repeat if no attempt may have
// run, or if r's class has no window.
func (r *request) windowEnd() (end Instant, repeats bool) {
	first := r.live()
	if first == nil || !again[r.class.Idempotency].inGroup {
		return 0, false
	}
	return first.at + Instant(r.class.DedupWindow), true
}

// endOthers has the attempts of r that are out end with the window of one that is sent now, which may run
// before they do.
func (g *Gateway) endOthers(r *request) {
	end := g.now + Instant(r.class.DedupWindow)
	earlier := len(r.attempts)
	if r.out == 0 || !g.set.MayCancel || end >= r.due {
		return
	}
	g.at(end, func() {
		for i := range earlier {
			if !r.attempts[i].ended {
				g.acts = append(g.acts, CancelAttempt{Request: r.id, Attempt: i})
			}
		}
	})
}

// canEndOthers tells whether the attempts of r that are out end within the window of one that is sent now.
func (g *Gateway) canEndOthers(r *request) bool {
	return r.out == 0 || g.set.MayCancel || r.due <= g.now+Instant(r.class.DedupWindow)
}
