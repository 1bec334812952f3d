package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

const maxNoteLength = 512 // limit in bytes on each of an operator's name and reason

// ErrInvalidNote is returned for a command whose operator's name or reason is missing or too long.
var ErrInvalidNote = errors.New("fleet: who asks, and why, in up to 512 bytes each")

// OperatorNote states who issued a command, and why.
type OperatorNote struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
}

// OperatorMark is an operator's note as recorded in the plan.
type OperatorMark struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
	At     int64  `cbor:"3,keyasint" json:"at"` // Unix time in ms, by the leader's clock
}

// EncodeNote encodes a note as the arguments of the freeze and thaw commands.
func EncodeNote(by, reason string) []byte { return encode(OperatorNote{by, reason}) }

// decode decodes and checks a note. It returns the decoding error or ErrInvalidNote.
func (o *OperatorNote) decode(args []byte) error {
	if err := decoder.Unmarshal(args, o); err != nil {
		return err
	}
	if o.By == "" || o.Reason == "" || len(o.By) > maxNoteLength || len(o.Reason) > maxNoteLength {
		return ErrInvalidNote
	}
	return nil
}

// Frozen returns the mark of the operator who froze the plan. ok is true if the plan is frozen.
func (p *Plan) Frozen() (m OperatorMark, ok bool) {
	ok, err := p.Section(SectionFreeze, &m)
	return m, ok && err == nil
}

// FreezeCommands returns the handlers of freeze, which stops the leader from changing the plan on its own
// initiative, and of thaw, which allows it again.
func FreezeCommands() map[string]CommandHandler {
	return map[string]CommandHandler{"freeze": freeze, "thaw": thaw}
}

func freeze(p *Plan, args []byte, unixMS int64) (map[string]cbor.RawMessage, error) {
	var note OperatorNote
	if err := note.decode(args); err != nil {
		return nil, err
	}
	if m, ok := p.Frozen(); ok && m.By == note.By && m.Reason == note.Reason {
		return nil, nil
	}
	return map[string]cbor.RawMessage{SectionFreeze: encode(OperatorMark{note.By, note.Reason, unixMS})}, nil
}

func thaw(p *Plan, args []byte, _ int64) (map[string]cbor.RawMessage, error) {
	var note OperatorNote
	if err := note.decode(args); err != nil {
		return nil, err
	}
	if _, ok := p.Frozen(); !ok {
		return nil, nil
	}
	return map[string]cbor.RawMessage{SectionFreeze: nil}, nil
}
