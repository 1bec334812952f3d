package discovery

import (
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
)

// rollbackAfter is for how long messages of older revisions are taken for those of a lagging service. After that, the service
// was restarted or put back, and its list is the list now.
const rollbackAfter = 2 * time.Second

// apply decodes a message, whose first byte was read at readAt, and passes on what changes by it. Of a stale message only
// restrictions are applied, and the error is errStale: it may show a server as it was before it drained.
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
	d.logUpdate(m, update, stale, len(text))
	if err := d.update(update); err != nil {
		return err
	}
	if stale {
		return errStale
	}
	d.staleSince = time.Time{}
	d.firstOnce.Do(func() { close(d.Synced) })
	return nil
}

// isStale reports whether a message is not to be trusted, as its revision is older than that held. A complete list of such a
// revision is trusted once there was nothing newer for rollbackAfter; a delta never is, as its base is unknown.
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

// logUpdate logs what a message changed.
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
