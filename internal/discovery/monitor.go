package discovery

import "time"

// Monitor observes how the list is read. The goroutine of Client.Run calls it; it may not block.
type Monitor interface {
	// ListRead is called when a message of so many bytes was read and decoded; age is the time since its first byte.
	ListRead(version int64, bytes int, age time.Duration)
	// ListInterrupted is called when the list broke off, for a reason of a fixed set (breakReason).
	ListInterrupted(reason string)
}

// noMonitor ignores everything.
type noMonitor struct{}

func (noMonitor) ListRead(int64, int, time.Duration) {}
func (noMonitor) ListInterrupted(string)             {}

// SetMonitor sets the monitor; it is to be called before Run.
func (d *Client) SetMonitor(m Monitor) { d.monitor = m }
