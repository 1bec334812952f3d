package drill

import (
	"fmt"
	"strings"
	"time"

	"dewhitch/internal/standin"
)

// class is a class of requests, with what the rules need of it.
type class struct {
	standin.Class
	query bool // sent as a query, without an idempotency key
}

// arrival is one attempt at a server.
type arrival struct {
	arrivedAt  time.Time
	endedAt    time.Time // of the answer; zero: none yet
	sentAt     time.Time // when its first byte left the gateway; zero: not known
	remote     string    // the connection, by the address that the server sees
	link       interface{ Left(far string) time.Time }
	gateway    string
	server     string
	mayHaveRun bool   // it was not rejected
	key        string // idempotency key
}

// sentBy tells whether its first byte had left the gateway at a time: what delayed it after that was the link alone.
func (a *arrival) sentBy(at time.Time) bool { return !a.sentAt.IsZero() && !a.sentAt.After(at) }

// completedAt is when the attempt ended for its gateway, by an answer or because it closed the connection; zero: it is in flight.
func (a *arrival) completedAt() time.Time {
	closedAt := a.link.Left(a.remote)
	if !a.endedAt.IsZero() && (closedAt.IsZero() || a.endedAt.Before(closedAt)) {
		return a.endedAt
	}
	return closedAt
}

// commandHistory is all attempts of one request, in the order of their arrival.
type commandHistory struct {
	arrivals []*arrival
	class    string
}

// String lists the attempts, one a line, after the class.
func (h *commandHistory) String() string {
	var b strings.Builder
	b.WriteString(h.class)
	for _, a := range h.arrivals {
		fmt.Fprintf(&b, "\n    %s %s -> %s, written at %s", formatClock(a.arrivedAt), a.gateway, a.server, formatClock(a.sentAt))
		if end := a.completedAt(); !end.IsZero() {
			fmt.Fprintf(&b, ", over after %v", end.Sub(a.arrivedAt).Round(time.Millisecond))
		}
	}
	return b.String()
}

// formatClock is a time of day, to the millisecond.
func formatClock(t time.Time) string { return t.Format("15:04:05.000") }
