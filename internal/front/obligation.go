package front

import "time"

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
