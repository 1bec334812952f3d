package front

import (
	"io"
	"time"

	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
)

// streamingBytes is the number of unsent bytes that an answer counts as while its value is streamed.
const streamingBytes = 1

// Slot holds the place of one answer in the order of a session's commands. Its methods are safe for concurrent use. A slot is filled
// once; later answers are ignored.
type Slot struct {
	session          *session
	answer           []byte
	value            Value         // streamed after answer, followed by the end of the bulk string; nil if there is none
	filled           bool          // the slot has its answer
	command          *memory.Hold  // memory of a large command, held until the slot is filled or CommandMemory has taken it
	onClientDeparted func()        // callback of OnClientDeparted; nil if there is none
	onExpedite       func()        // callback of OnExpedite; nil if there is none
	onSettled        func(Outcome) // callback of OnSettled; nil if there is none
	mustReject       bool          // result of MustReject
}

// Value is a large value that is streamed. Its owner closes it. One goroutine at a time reads it.
type Value interface {
	io.Reader
	Close() // safe for any goroutine, also during a Read; repeated calls do nothing
}

// Outcome is the outcome of the delivery of an answer.
type Outcome int

// The outcomes of the delivery of an answer.
const (
	Written        Outcome = iota // the last byte of the answer was written
	ClientDeparted                // the client disconnected before the slot was filled
	WriteFailed                   // the slot was filled, but the last byte of the answer could not be written
)

// answerEnd is the position at which an answer ends in a buffer of answers.
type answerEnd struct {
	end       int           // offset of the byte after the answer
	onSettled func(Outcome) // callback of the slot
}

// MustReject reports whether the gateway no longer accepted requests when the command was read. Such a request must be rejected and
// must not be carried out.
func (slot *Slot) MustReject() bool { return slot.mustReject }

// Client returns the number of the client's connection, which no other one of the process has.
func (slot *Slot) Client() uint64 { return slot.session.id }

// Charge counts time that was used for the command on another goroutine. The session pays for it. It is safe for concurrent use.
func (slot *Slot) Charge(d time.Duration) { slot.session.reading.Charge(d) }

// RejectInvalid answers an invalid command with an error. Too many invalid commands end the session.
func (slot *Slot) RejectInvalid(why string) {
	slot.session.mu.Lock()
	slot.session.faultyCommands++
	slot.session.mu.Unlock()
	slot.Fill(resp.AppendError(nil, "ERR "+why))
}

// FillAndClose fills the slot, and ends the session when all earlier commands are answered too. It must be called within Commands.Do.
func (slot *Slot) FillAndClose(answer []byte) {
	slot.Fill(answer)
	slot.session.finish(ClosedRequested)
}

// OnClientDeparted sets a function that is called once if the client disconnects before the slot is filled. If the client has already
// disconnected, f is called immediately on its own goroutine.
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

// ClientLeft reports whether the client has closed the connection, and then ends the session. It is for a Commands.Do that has had to wait: the
// session does not notice meanwhile.
func (slot *Slot) ClientLeft() bool {
	s := slot.session
	s.abortIfHungUp()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.state == stateClosed
}

// OnExpedite sets a function that is called at most once, when the connection must end and any answer is needed immediately.
func (slot *Slot) OnExpedite(f func()) {
	slot.session.mu.Lock()
	defer slot.session.mu.Unlock()
	slot.onExpedite = f
}

// OnSettled sets a function that is called exactly once, with the outcome of the answer. It must be set before the slot can be filled.
// f must not block.
func (slot *Slot) OnSettled(f func(Outcome)) {
	slot.session.mu.Lock()
	defer slot.session.mu.Unlock()
	slot.onSettled = f
}

// Fill gives the slot its encoded answer. It does not block. A second answer is ignored.
func (slot *Slot) Fill(answer []byte) { slot.fill(answer, nil) }

// FillHeld gives the slot an answer that consists of the header of a bulk string and a long value of that length in memory. hold is the
// memory that was acquired for the value; it is released once the value is written, or can't be.
func (slot *Slot) FillHeld(head, value []byte, hold *memory.Hold) {
	slot.fill(head, &heldValue{value, hold})
}

// CommandMemory returns the memory of the command, which the caller releases once nothing refers to the command any more. It returns
// nil if the command is short. It must be called within Commands.Do.
func (slot *Slot) CommandMemory() *memory.Hold {
	slot.session.mu.Lock()
	defer slot.session.mu.Unlock()
	hold := slot.command
	slot.command = nil
	return hold
}

// FillFrom gives the slot an answer that consists of the header of a bulk string and a value of that length. The session copies the
// value to the client when all earlier answers are written. It closes the value in any case.
func (slot *Slot) FillFrom(head []byte, value Value) {
	slot.session.bounds.addStream(slot.session)
	slot.fill(head, &countedStream{Value: value, session: slot.session})
}

// fill gives the slot its answer. If no earlier command is unanswered, it passes this answer and the filled ones that follow it
// to the writer.
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
	slot.command.Release()
	if s.lifecycle.state == stateClosed {
		return
	}
	s.unsentBytes += len(answer)
	if s.slots[0] != slot {
		return
	}
	s.lastPendingAt = time.Now()
	s.gatherAnswers()
	if s.wokenAt.IsZero() {
		s.wokenAt = s.lastPendingAt
	}
	s.wakeWriter()
}

// gatherAnswers moves the filled slots at the head of slots to unwritten, up to and including the first one with a value. Until that
// value is written, the answer is pending. The caller holds the lock.
func (s *session) gatherAnswers() {
	n := 0
	for n < len(s.slots) && s.slots[n].filled && s.streaming == nil {
		slot := s.slots[n]
		s.unwritten = append(s.unwritten, slot.answer...)
		if slot.value != nil {
			s.streaming = slot
			s.unsentBytes += streamingBytes
		} else if slot.onSettled != nil {
			s.answerEnds = append(s.answerEnds, answerEnd{len(s.unwritten), slot.onSettled})
		}
		s.slots[n] = nil
		s.gatheredCount++
		n++
	}
	s.slots = s.slots[n:]
	s.releaseRequestMemory()
	s.capacity.Signal()
}

// settleValue closes the value of an answer, and reports the outcome of the answer.
func (slot *Slot) settleValue(outcome Outcome) {
	slot.value.Close()
	if slot.onSettled != nil {
		slot.onSettled(outcome)
	}
}

// settleAnswers reports the outcomes of the answers in a buffer. written is the number of bytes of the buffer that were written.
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
