package front

// obligation is what a client is owed on its connection.
type obligation struct {
	commandBegun bool // a part of a command was read, the rest was not, and it has no answer
	undelivered  int  // bytes of answers, and the end of the stream, that were written and that the client's system has not received
}

// none reports whether the client is owed nothing.
func (o obligation) none() bool { return !o.commandBegun && o.undelivered == 0 }
