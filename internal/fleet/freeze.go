package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

const maxNoteLength = 512 // bytes of each of an operator's name and reason

// ErrInvalidNote rejects a command without an operator's name and reason, or with too long ones.
var ErrInvalidNote = errors.New("fleet: who asks, and why, in up to 512 bytes each")

// OperatorNote comes with an operator's command.
type OperatorNote struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
}

// OperatorMark is an operator's note in the plan.
type OperatorMark struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
	At     int64  `cbor:"3,keyasint" json:"at"` // Unix ms, by the leader's clock
}

// EncodeNote encodes a note as the arguments of freeze and thaw.
func EncodeNote(by, reason string) []byte { return encode(OperatorNote{by, reason}) }

// Read decodes and checks a note; the error is of decoding, or ErrInvalidNote.
func (s *OperatorNote) Read(args []byte) error {
	if err := decoder.Unmarshal(args, s); err != nil {
		return err
	}
	if s.By == "" || s.Reason == "" || len(s.By) > maxNoteLength || len(s.Reason) > maxNoteLength {
		return ErrInvalidNote
	}
	return nil
}

// Frozen returns the mark of a freeze; false: the plan is not frozen.
func (p *Plan) Frozen() (m OperatorMark, ok bool) {
	ok, err := p.Section(SectionFreeze, &m)
	return m, ok && err == nil
}

// FreezeCommands are the commands that stop the leader from changing the plan of its own accord, and allow it
// again.
func FreezeCommands() map[string]CommandHandler {
	return map[string]CommandHandler{"freeze": freeze, "thaw": thaw}
}

func freeze(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
	var note OperatorNote
	if err := note.Read(args); err != nil {
		return nil, err
	}
	if m, ok := p.Frozen(); ok && m.By == note.By && m.Reason == note.Reason {
		return nil, nil
	}
	return map[string]cbor.RawMessage{SectionFreeze: encode(OperatorMark{note.By, note.Reason, unix})}, nil
}

func thaw(p *Plan, args []byte, _ int64) (map[string]cbor.RawMessage, error) {
	var note OperatorNote
	if err := note.Read(args); err != nil {
		return nil, err
	}
	if _, ok := p.Frozen(); !ok {
		return nil, nil
	}
	return map[string]cbor.RawMessage{SectionFreeze: nil}, nil
}
