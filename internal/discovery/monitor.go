package discovery

import "time"

// Monitor observes how the list is read. Its methods are called by the goroutine of Client.Run and must not block.
type Monitor interface {
	// ListRead is called when a message was read and decoded. Its length is bytes, and age is the time since its first byte.
	ListRead(version int64, bytes int, age time.Duration)
	// ListInterrupted is called when following the list was interrupted. The reason is from the fixed set of
	// interruptionReason.
	ListInterrupted(reason string)
}

// noMonitor is a Monitor that does nothing.
type noMonitor struct{}

func (noMonitor) ListRead(int64, int, time.Duration) {}
func (noMonitor) ListInterrupted(string)             {}

// SetMonitor sets the monitor. It must be called before Run.
func (d *Client) SetMonitor(m Monitor) { d.monitor = m }
