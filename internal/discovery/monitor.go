package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"dewhitch/internal/http1"
)

// Monitor is told how the list is read. It may not block.
type Monitor interface {
	// ListRead tells that a message of so many bytes was read and decoded, and how long after its first byte.
	ListRead(version int64, bytes int, age time.Duration)
	// ListBroke tells that the list's connection ended, for a reason of a fixed set.
	ListBroke(reason string)
}

// noMonitor is told for nobody.
type noMonitor struct{}

func (noMonitor) ListRead(int64, int, time.Duration) {}
func (noMonitor) ListBroke(string)                   {}

// Monitor has m told how the list is read; before Run.
func (d *Client) Monitor(m Monitor) { d.monitor = m }

// reason sorts the errors by which the list breaks off, for metrics.
func reason(err error) string {
	var status statusError
	var dial *net.OpError
	switch {
	case errors.As(err, &status):
		return "status"
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return "moved"
	case errors.As(err, &dial) && dial.Op == "dial":
		return "dial"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case errors.Is(err, errOlder):
		return "older"
	case errors.Is(err, errTooLong):
		return "too_long"
	case errors.Is(err, errTooSlow):
		return "too_slow"
	case errors.Is(err, errEnded), errors.Is(err, errCut), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "ended"
	case errors.Is(err, http1.ErrProtocol):
		return "protocol"
	case errors.As(err, &dial):
		return "reset"
	}
	return "unreadable"
}
