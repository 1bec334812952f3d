package front

// refusal is the answer to a command that the gateway does not carry out because it ends the connection. The client may send the
// command again elsewhere.
const refusal = "BUSY"

// obligation is what a client is owed on its connection. The gateway ends a connection by itself only between two commands, or after it
// has refused the command that the client is writing: the client's system accepts the rest of it, and the client waits for an answer.
type obligation struct {
	commandBegun  bool // a part of a command was read, and the rest was not
	answerPending bool // a command was read, and its answer is not given or not written
	undelivered   int  // bytes of answers, and the end of the stream, that were written and that the client's system has not received
}

// none reports whether the client is owed nothing.
func (o obligation) none() bool { return o == obligation{} }
