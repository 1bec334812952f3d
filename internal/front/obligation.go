package front

import "time"

// refusal is the answer to a command that the gateway does not carry out because it ends the connection. The client may send the
// command again elsewhere.
const refusal = "BUSY"

// Bounds on how long the delivery of answers keeps a connection whose sending side is shut.
const (
	maxDeliveryTime = 10 * time.Second // maximum time from the end of writing until the client's system has everything
	crowdStallTime  = time.Second      // time without progress after which another client may take the place
)

// obligation is what a client is owed on its connection. The rule for every end of a connection by the gateway itself:
//   - It ends between two commands, or after it has refused the command that the client is writing: the client's system accepts the rest
//     of the command, and the client waits for an answer.
//   - It is closed once the client's system has received all answers. A close before that may reset the connection, as the client
//     may have sent more, and what is still in the gateway's system is lost.
//
// A client that does not go on keeps nothing open: a command has byteTimeout for its next byte and commandTimeout for the whole, an
// answer has sendTimeout for its next part and maxDeliveryTime for the last ones. The lifecycle has the times of a drain and a shutdown.
type obligation struct {
	commandBegun  bool          // a part of a command was read, and the rest was not
	answerPending bool          // a command was read, and its answer is not given or not written
	undelivered   int           // bytes of answers, and the end of the stream, that were written and that the client's system has not received
	stalled       time.Duration // time since the client's system last received a part of these
}

// none reports whether the client is owed nothing.
func (o obligation) none() bool { return !o.commandBegun && !o.answerPending && o.undelivered == 0 }

// delivering reports whether the client's system is receiving answers, the last part of them within stallTime.
func (o obligation) delivering(stallTime time.Duration) bool {
	return o.undelivered > 0 && o.stalled < stallTime
}

// delivery follows how a client's system receives what was written for it.
type delivery struct {
	unsent     int // bytes that it has not received
	progressAt time.Time
}

// observe updates the delivery with the bytes that are unsent at the time now.
func (d *delivery) observe(unsent int, now time.Time) {
	if unsent < d.unsent {
		d.progressAt = now
	}
	d.unsent = unsent
}

// stalled returns the time since the last progress, or 0 if everything was received.
func (d *delivery) stalled(now time.Time) time.Duration {
	if d.unsent == 0 {
		return 0
	}
	return now.Sub(d.progressAt)
}
