package sockets

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// ErrEnded is returned by Accept once its listener was closed, or the listener's deadline has passed.
var ErrEnded = errors.New("sockets: the listener has ended")

const (
	// shortageRetryInterval is short, as a process that shuts down has little time for the connections that are queued.
	shortageRetryInterval = 10 * time.Millisecond
	shortageLogInterval   = time.Second // between two log lines on a shortage
)

// Accept accepts the next connection; what names its kind in the log. It repeats what can be repeated, and blocks meanwhile. Its
// error is ErrEnded, or wraps that of a listener that can't be used any more.
func Accept(l net.Listener, log *zap.Logger, connKind string) (net.Conn, error) {
	var lastLogged time.Time
	for {
		conn, err := l.Accept()
		switch ClassifyAcceptError(err) {
		case None:
			return conn, nil
		case Ended:
			return nil, ErrEnded
		case Transient:
		case Broken:
			return nil, fmt.Errorf("%s could not be taken in: %w", connKind, err)
		default:
			if lastLogged.IsZero() || time.Since(lastLogged) >= shortageLogInterval {
				lastLogged = time.Now()
				log.Warn(connKind+" could not be taken in", zap.Error(err))
			}
			time.Sleep(shortageRetryInterval)
		}
	}
}
