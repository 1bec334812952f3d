package front

import (
	"io"
	"time"

	"dewhitch/internal/resp"
)

// Slot is the place of one answer in the order of a client session.
type Slot struct {
	session *session
	answer  []byte
	value   Value // that follows the answer's bytes, with its end behind it; nil: none
	filled  bool
	large   int64  // bytes of the command that Bounds.large holds a place for
	gone    func() // called if the client leaves before the slot is filled
	hurry   func() // called if the slot must be filled now; nil: nobody can
	settled func(Fate)
	refuse  bool
}

// Value is a large value as it comes.
type Value interface {
	io.Reader
	Close() // from any goroutine, and again
}

// Fate is what became of a slot's answer.
type Fate int

// The fates.
const (
	Written Fate = iota // its last byte was written
	Gone                // the client left before there was an answer
	Cut                 // there was one, and its last byte could not be written
)

// mark is where an answer ends in what is being written.
type mark struct {
	end     int
	settled func(Fate)
}

// Refuse reports whether the gateway took no more requests when the command came: one must be refused, and not be carried
// out.
func (o *Slot) Refuse() bool { return o.refuse }

// Reject gives the slot an error, for a command that can't be used.
func (o *Slot) Reject(why string) {
	o.session.mu.Lock()
	o.session.bad++
	o.session.mu.Unlock()
	o.Fill(resp.AppendFailure(nil, "ERR "+why))
}

// Last gives the slot its answer, and has the session end as soon as all that came before it is answered too.
func (o *Slot) Last(answer []byte) {
	o.Fill(answer)
	o.session.finish(ClosedRequested)
}

// OnGone sets what is to happen if the client leaves before the slot is filled.
func (o *Slot) OnGone(f func()) {
	s := o.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.state < stateClosed && !o.filled {
		o.gone = f
	} else if !o.filled {
		go f() // it left while the command was being taken in
	}
}

// OnHurry sets what is to happen if the answer is wanted now, whatever it is, as the connection must end.
func (o *Slot) OnHurry(f func()) {
	o.session.mu.Lock()
	defer o.session.mu.Unlock()
	o.hurry = f
}

// OnSettled has f told, once, what becomes of the answer. It must be set before the slot can be filled; f may not block.
func (o *Slot) OnSettled(f func(Fate)) {
	o.session.mu.Lock()
	defer o.session.mu.Unlock()
	o.settled = f
}

// Fill gives the slot its answer. It does not block; a second answer is passed over.
func (o *Slot) Fill(answer []byte) { o.fill(answer, nil) }

// FillFrom gives the slot an answer of a bulk string's head and a value of that length, which the session copies when its
// turn has come, and closes in any case.
func (o *Slot) FillFrom(head []byte, v Value) { o.fill(head, v) }

func (o *Slot) fill(answer []byte, v Value) {
	s := o.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != nil && (o.filled || s.life.state == stateClosed) {
		v.Close()
	}
	if o.filled {
		return
	}
	o.answer, o.value, o.filled, o.gone, o.hurry = answer, v, true, nil, nil
	s.bounds.large.Release(o.large)
	if s.life.state == stateClosed {
		return
	}
	s.owed += len(answer)
	if s.bounds.waiting.Add(int64(len(answer))) > s.bounds.allUnsent && int64(s.owed) > s.bounds.unsent {
		s.because(ClosedUnread)
		s.conn.Close() // a client that does not read may not fill the gateway's memory; read sees the end
	}
	if s.slots[0] != o {
		return
	}
	s.busy = time.Now()
	s.gather()
	s.signal()
}

// gather moves answers whose turn has come to what is written next, up to the first with a value; the lock is held. Until
// that value is written its answer counts as owed.
func (s *session) gather() {
	n := 0
	for n < len(s.slots) && s.slots[n].filled && s.value == nil {
		o := s.slots[n]
		if s.out = append(s.out, o.answer...); o.value != nil {
			s.value = o
			s.owed++
			s.bounds.waiting.Add(1)
		} else if o.settled != nil {
			s.marks = append(s.marks, mark{len(s.out), o.settled})
		}
		s.slots[n] = nil
		n++
	}
	s.slots = s.slots[n:]
	s.room.Signal()
}

// end tells the fate of an answer with a value, which is no longer needed.
func (o *Slot) end(f Fate) {
	o.value.Close()
	if o.settled != nil {
		o.settled(f)
	}
}

// settle tells the fates of answers of which so many bytes were written, one behind the other.
func settle(marks []mark, written int) {
	for _, m := range marks {
		if m.end <= written {
			m.settled(Written)
		} else {
			m.settled(Cut)
		}
	}
	clear(marks)
}
