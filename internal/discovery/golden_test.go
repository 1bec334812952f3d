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

// TestGoldenBreakReasons keeps the words for why the list's connection ended: a label of a metric.
func TestGoldenBreakReasons(t *testing.T) {
	var words strings.Builder
	for _, err := range []error{statusError(503), context.Canceled, net.ErrClosed, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		os.ErrDeadlineExceeded, errStale, errTooLong, errTooSlow, errEnded, errTruncated, io.EOF, io.ErrUnexpectedEOF, http1.ErrProtocol,
		&net.OpError{Op: "read", Err: errors.New("broken")}, errors.New("no JSON")} {
		fmt.Fprintln(&words, breakReason(err))
	}
	golden.Compare(t, "break_reasons", []byte(words.String()))
}
