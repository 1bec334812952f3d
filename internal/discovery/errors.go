package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"dewhitch/internal/http1"
)

// The errors by which the list breaks off, besides those of the network.
var (
	// errStale says that a message is of an older revision than what the planner holds.
	errStale = errors.New("an older list")
	// errPollEnds says that the connection ended with the list, as its answer said it would.
	errPollEnds = errors.New("the connection ended with the list")
	// errEnded says that a watch ended between two messages.
	errEnded = errors.New("the watch ended")
	// errTruncated says that a watch ended within a message.
	errTruncated = errors.New("the watch ended within a message")
	// errTooLong says that a message is too long to be read.
	errTooLong = fmt.Errorf("a message is over %d bytes", maxMessage)
	// errTooSlow says that a message was not complete in time, though bytes of it went on coming.
	errTooSlow = errors.New("a message is not whole in time")
	// errTrailing says that something follows the one object that a message is.
	errTrailing = errors.New("more follows the list")
)

// statusError is an answer of another status than 200: the service is there, and rejected the request.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// contentError wraps the fault of a message that can't be used: the same request would bring the same message again.
type contentError struct{ error }

// Unwrap gives the fault.
func (e contentError) Unwrap() error { return e.error }

// breakReason classifies the errors by which the list breaks off, as a label for metrics and the log.
func breakReason(err error) string {
	var status statusError
	var op *net.OpError
	switch {
	case errors.As(err, &status):
		return "status"
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return "moved"
	case errors.As(err, &op) && op.Op == "dial":
		return "dial"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case errors.Is(err, errStale):
		return "older"
	case errors.Is(err, errTooLong):
		return "too_long"
	case errors.Is(err, errTooSlow):
		return "too_slow"
	case errors.Is(err, errEnded), errors.Is(err, errTruncated), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "ended"
	case errors.Is(err, http1.ErrProtocol):
		return "protocol"
	case errors.As(err, &op):
		return "reset"
	}
	return "unreadable"
}
