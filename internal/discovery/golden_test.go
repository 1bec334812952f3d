package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"dewhitch/internal/golden"
	"dewhitch/internal/http1"
)

// TestGoldenInterruptionReasons guards against changes of the reasons for interruptions of the list, which operators see as
// values of a metric label.
func TestGoldenInterruptionReasons(t *testing.T) {
	var reasons strings.Builder
	for _, err := range []error{statusError(503), context.Canceled, net.ErrClosed, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		os.ErrDeadlineExceeded, errStale, errTooLong, errTooSlow, errEnded, errTruncated, io.EOF, io.ErrUnexpectedEOF, http1.ErrProtocol,
		&net.OpError{Op: "read", Err: errors.New("broken")}, errors.New("no JSON")} {
		fmt.Fprintln(&reasons, interruptionReason(err))
	}
	golden.Compare(t, "break_reasons", []byte(reasons.String()))
}
