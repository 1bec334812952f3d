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

// The errors that interrupt following the list, besides network errors.
var (
	// errStale is returned for a message whose revision is older than that of the planner's list.
	errStale = errors.New("an older list")
	// errPollClosedConn is returned if the answer to a poll was complete and its head announced that the connection closes.
	errPollClosedConn = errors.New("the connection ended with the list")
	// errEnded is returned if a watch ended between two messages.
	errEnded = errors.New("the watch ended")
	// errTruncated is returned if a watch ended within a message.
	errTruncated = errors.New("the watch ended within a message")
	// errTooLong is returned for a message of more than maxMessage bytes.
	errTooLong = fmt.Errorf("a message is over %d bytes", maxMessage)
	// errTooSlow is returned for a message that was not complete within messageTimeout, although its bytes kept arriving.
	errTooSlow = fmt.Errorf("a message was not complete within %v", messageTimeout)
	// errTrailing is returned if data follows the JSON object of a message.
	errTrailing = errors.New("data follows the JSON object of the list")
)

// statusError is the status of an answer other than 200: the director is reachable and rejected the request.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// contentError wraps the error of a message that can't be used. The same request would get the same message again.
type contentError struct{ error }

// Unwrap returns the wrapped error.
func (e contentError) Unwrap() error { return e.error }

// interruptionReason classifies an error that interrupted following the list, as a label for metrics and the log.
func interruptionReason(err error) string {
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
