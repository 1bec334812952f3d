package sockets

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// ErrEnded is the error of Accept after the listener was closed or its deadline has passed.
var ErrEnded = errors.New("sockets: listener closed or its deadline exceeded")

const (
	// shortageRetryInterval is the pause after an error that is due to a shortage. It is short because a process that shuts down
	// has little time to accept the connections that are still queued.
	shortageRetryInterval = 10 * time.Millisecond
	shortageLogInterval   = time.Second // minimum time between two log lines about a shortage
)

// Accept accepts the next connection; connKind names the kind of connection in errors and in the log. It blocks, and retries after
// errors that do not break the listener. It returns ErrEnded after the listener was closed or its deadline has passed, or an error
// that wraps the listener's if the listener is unusable.
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
			return nil, fmt.Errorf("%s could not be accepted: %w", connKind, err)
		default:
			if lastLogged.IsZero() || time.Since(lastLogged) >= shortageLogInterval {
				lastLogged = time.Now()
				log.Warn(connKind+" could not be accepted", zap.Error(err))
			}
			time.Sleep(shortageRetryInterval)
		}
	}
}
