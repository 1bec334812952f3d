package drill

import (
	"fmt"
	"strings"
	"time"

	"dewhitch/internal/standin"
)

// class is a class of requests with the properties that the rules check.
type class struct {
	standin.Class
	query bool // true if the request is sent as a query, without an idempotency key
}

// arrival is one attempt as it arrived at a server.
type arrival struct {
	arrivedAt  time.Time
	endedAt    time.Time // time of the server's answer; zero until then
	sentAt     time.Time // time at which the attempt's first byte left the gateway; zero if unknown
	remote     string    // remote address of the connection, as the server sees it
	link       interface{ ClosedAt(far string) time.Time }
	gateway    string
	server     string
	mayHaveRun bool   // true if the server did not reject the attempt as busy, so that it may have run
	key        string // idempotency key; empty if there is none
}

// sentBy reports whether the attempt's first byte had left the gateway by a time. Only the link can delay it after that.
func (a *arrival) sentBy(at time.Time) bool { return !a.sentAt.IsZero() && !a.sentAt.After(at) }

// completedAt returns the time at which the attempt ended for its gateway: it was answered, or the gateway closed the connection.
// It returns the zero time while the attempt is in flight.
func (a *arrival) completedAt() time.Time {
	closedAt := a.link.ClosedAt(a.remote)
	if !a.endedAt.IsZero() && (closedAt.IsZero() || a.endedAt.Before(closedAt)) {
		return a.endedAt
	}
	return closedAt
}

// commandHistory holds all attempts of one request, in the order of their arrival.
type commandHistory struct {
	arrivals []*arrival
	class    string
}

// String returns the class, followed by one line for each attempt.
func (h *commandHistory) String() string {
	var b strings.Builder
	b.WriteString(h.class)
	for _, a := range h.arrivals {
		fmt.Fprintf(&b, "\n    %s %s -> %s, written at %s", formatClock(a.arrivedAt), a.gateway, a.server, formatClock(a.sentAt))
		if end := a.completedAt(); !end.IsZero() {
			fmt.Fprintf(&b, ", ended after %v", end.Sub(a.arrivedAt).Round(time.Millisecond))
		}
	}
	return b.String()
}

// formatClock returns a time of day with milliseconds.
func formatClock(t time.Time) string { return t.Format("15:04:05.000") }
