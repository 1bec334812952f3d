package front

import "dewhitch/internal/resp"

// refusal is the answer to a command that the gateway does not carry out because it ends the connection. The client may send the
// command again elsewhere.
const refusal = "BUSY"

// refuse answers a command that is not carried out because the gateway ends the connection.
func (slot *Slot) refuse() {
	slot.session.mu.Lock()
	slot.session.refusedCommands++
	slot.session.mu.Unlock()
	slot.Fill(resp.AppendError(nil, refusal))
}

// refusalReason returns the close reason of a session that refuses the command that its client is writing.
func (s *session) refusalReason() CloseReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifecycle.state != stateOpen {
		return s.shutdownReason
	}
	return ClosedEvicted
}

// refuseBuffered refuses the commands that have been read from the connection and not carried out, because the session ends. The last
// one may be incomplete.
func (s *session) refuseBuffered(r *resp.Reader) {
	s.refusing = true
	for r.Buffered() > 0 {
		_, err := r.ReadCommand()
		s.finishCommandRead(err)
		slot := s.openSlot()
		if slot == nil {
			return
		}
		slot.refuse()
		if err != nil {
			return
		}
	}
}
