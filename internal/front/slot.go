package front

import (
	"io"
	"time"

	"dewhitch/internal/resp"
)

// streamingBytes is what an answer counts among the unsent bytes while its value is streamed.
const streamingBytes = 1

// Slot is the place of one answer in the order of a session's commands. Its methods are safe for any goroutine.
type Slot struct {
	session          *session
	answer           []byte
	value            Value // written after answer, with the end of its bulk string; nil: none
	filled           bool
	largeBytes       int64         // of the command, held in Bounds.largeCommands until the slot is filled
	onClientDeparted func()        // nil: none
	onExpedite       func()        // nil: none
	onSettled        func(Outcome) // nil: none
	mustReject       bool
}

// Value is a large value while it is read. Whoever has it closes it. It is read by one goroutine at a time.
type Value interface {
	io.Reader
	Close() // from any goroutine; repeated calls do nothing
}

// Outcome is what became of a slot's answer.
type Outcome int

// The fates.
const (
	Written        Outcome = iota // its last byte was written
	ClientDeparted                // the client left before there was an answer
	WriteFailed                   // there was one, and its last byte could not be written
)

// answerEnd is where an answer ends in what is being written.
type answerEnd struct {
	end       int // offset of the byte after it
	onSettled func(Outcome)
}

// MustReject reports whether the gateway no longer accepted requests when the command was read: a request must be rejected, and
// not be carried out.
func (slot *Slot) MustReject() bool { return slot.mustReject }

// RejectInvalid answers a command that can't be used with an error. Too many of them end the session.
func (slot *Slot) RejectInvalid(why string) {
	slot.session.mu.Lock()
	slot.session.faultyCommands++
	slot.session.mu.Unlock()
	slot.Fill(resp.AppendError(nil, "ERR "+why))
}

// FillAndClose answers the command, and ends the session once all commands before it are answered too. It is called within
// Commands.Do.
func (slot *Slot) FillAndClose(answer []byte) {
	slot.Fill(answer)
	slot.session.finish(ClosedRequested)
}

// OnClientDeparted has f called, once, if the client leaves before the slot is filled; at once, on a goroutine of its own, if it
// has left already.
func (slot *Slot) OnClientDeparted(f func()) {
	s := slot.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.filled {
		return
	}
	if s.lifecycle.state == stateClosed {
		go f()
		return
	}
	slot.onClientDeparted = f
}

// OnExpedite has f called, once, if the answer is needed now, whatever it is, as the connection must end.
func (slot *Slot) OnExpedite(f func()) {
	slot.session.mu.Lock()
	defer slot.session.mu.Unlock()
	slot.onExpedite = f
}

// OnSettled has f called, exactly once, with what became of the answer. It is set before the slot can be filled; f may not
// block.
func (slot *Slot) OnSettled(f func(Outcome)) {
	slot.session.mu.Lock()
	defer slot.session.mu.Unlock()
	slot.onSettled = f
}

// Fill gives the slot its answer, in the form of the wire. It does not block; a second answer is ignored.
func (slot *Slot) Fill(answer []byte) { slot.fill(answer, nil) }

// FillFrom gives the slot an answer of a bulk string's head and a value of that length, which the session copies to the client
// in its turn, and closes in any case.
func (slot *Slot) FillFrom(head []byte, value Value) { slot.fill(head, value) }

func (slot *Slot) fill(answer []byte, value Value) {
	s := slot.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if value != nil && (slot.filled || s.lifecycle.state == stateClosed) {
		value.Close()
	}
	if slot.filled {
		return
	}
	slot.answer = answer
	slot.value = value
	slot.filled = true
	slot.onClientDeparted = nil
	slot.onExpedite = nil
	s.bounds.largeCommands.Release(slot.largeBytes)
	if s.lifecycle.state == stateClosed {
		return
	}
	s.countUnsent(len(answer))
	if s.slots[0] != slot {
		return
	}
	s.lastPendingAt = time.Now()
	s.gatherAnswers()
	s.wakeWriter()
}

// countUnsent counts n bytes of an answer as unsent; the lock is held. It ends a session that holds too much of the gateway's
// memory, as its client does not read: the reader sees the closed connection.
func (s *session) countUnsent(n int) {
	s.unsentBytes += n
	total := s.bounds.unsentTotal.Add(int64(n))
	if total > s.bounds.maxUnsentTotal && int64(s.unsentBytes) > s.bounds.maxUnsent {
		s.setCloseReason(ClosedUnread)
		s.conn.Close()
	}
}

// gatherAnswers moves the answers at the head of the slots to what is written next, up to the first with a value; the lock is
// held. Until that value is written, the answer counts as owed.
func (s *session) gatherAnswers() {
	n := 0
	for n < len(s.slots) && s.slots[n].filled && s.streaming == nil {
		slot := s.slots[n]
		s.unwritten = append(s.unwritten, slot.answer...)
		if slot.value != nil {
			s.streaming = slot
			s.unsentBytes += streamingBytes
			s.bounds.unsentTotal.Add(streamingBytes)
		} else if slot.onSettled != nil {
			s.answerEnds = append(s.answerEnds, answerEnd{len(s.unwritten), slot.onSettled})
		}
		s.slots[n] = nil
		n++
	}
	s.slots = s.slots[n:]
	s.capacity.Signal()
}

// settleValue closes the value of an answer, and reports what became of the answer.
func (slot *Slot) settleValue(outcome Outcome) {
	slot.value.Close()
	if slot.onSettled != nil {
		slot.onSettled(outcome)
	}
}

// settleAnswers reports what became of consecutive answers of which so many bytes were written.
func settleAnswers(answerEnds []answerEnd, written int) {
	for _, answer := range answerEnds {
		if answer.end <= written {
			answer.onSettled(Written)
		} else {
			answer.onSettled(WriteFailed)
		}
	}
	clear(answerEnds)
}
