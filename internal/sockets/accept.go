package sockets

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// ErrEnded is returned by Accept once its listener was closed, or the time of that is up.
var ErrEnded = errors.New("sockets: the listener has ended")

const (
	shortageWait  = 10 * time.Millisecond // between two tries: at the end of a process there is little time for what is queued
	shortageEvery = time.Second           // between two log lines
)

// Accept takes the next connection, of the kind that what names in the log. It repeats what can be repeated; its error is
// ErrEnded, or that of a listener that can't be used any more.
func Accept(l net.Listener, log *zap.Logger, what string) (net.Conn, error) {
	var told time.Time
	for {
		conn, err := l.Accept()
		switch AcceptClass(err) {
		case None:
			return conn, nil
		case Ended:
			return nil, ErrEnded
		case Passing:
		case Broken:
			return nil, fmt.Errorf("%s could not be taken in: %w", what, err)
		default:
			if told.IsZero() || time.Since(told) >= shortageEvery {
				told = time.Now()
				log.Warn(what+" could not be taken in", zap.Error(err))
			}
			time.Sleep(shortageWait)
		}
	}
}
