package discovery

import (
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// rollbackAfter is how long messages of older revisions are attributed to a lagging director. After that time, the director is
// assumed to have been restarted or rolled back, and its list is accepted.
const rollbackAfter = 2 * time.Second

// apply decodes a message, whose first byte was read at readAt, and passes the changes to the planner. A stale message may show
// a server as ready that is draining by now, so apply passes on only its servers that are not ready and returns errStale.
func (d *Client) apply(text []byte, readAt time.Time) error {
	m, err := d.decoder.Decode(text)
	if err != nil {
		return contentError{err}
	}
	d.monitor.ListRead(m.Revision, len(text), time.Since(readAt))
	stale := d.isStale(m)
	var update core.EndpointUpdate
	if stale {
		update = d.view.applyRestrictions(m, d.revision)
	} else {
		update = d.view.apply(m)
	}
	d.revision = update.List.Version
	update.ReadAt = readAt
	update.Charge = d.flow.Charge
	d.logUpdate(m, update, stale, len(text))
	if err := d.update(update); err != nil {
		return err
	}
	if stale {
		return errStale
	}
	d.staleSince = time.Time{}
	d.syncedOnce.Do(func() { close(d.Synced) })
	return nil
}

// isStale returns true if a message must not be trusted because its revision is older than the current one. A complete list of
// an older revision is trusted once no newer message has arrived for rollbackAfter. A delta of an older revision is never
// trusted, as its base is unknown.
func (d *Client) isStale(m Message) bool {
	if m.Revision >= d.revision {
		d.staleSince = time.Time{}
		return false
	}
	if d.staleSince.IsZero() {
		d.staleSince = d.now()
	}
	return !m.Complete || d.now().Sub(d.staleSince) < rollbackAfter
}

// logUpdate logs the changes that a message made.
func (d *Client) logUpdate(m Message, update core.EndpointUpdate, stale bool, bytes int) {
	ready := 0
	for _, s := range update.List.Servers {
		if s.State == dw.Ready {
			ready++
		}
	}
	d.log.Info("a change of the list was read", zap.Int64("revision", m.Revision), zap.Bool("whole", m.Complete),
		zap.Bool("older", stale), zap.Int("named", len(m.Members)), zap.Int("changed", len(update.List.Servers)),
		zap.Int("ready", ready), zap.Int("bytes", bytes), zap.Duration("age", time.Since(update.ReadAt)))
}
