package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// OperatorNote is what an operator's call brings: who, and why.
type OperatorNote struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
}

// EncodeNote encodes what an operator said, as the arguments of an ask.
func EncodeNote(by, why string) []byte { return encode(OperatorNote{by, why}) }

const maxNoteLength = 512 // bytes of what an operator says

// ErrInvalidNote refuses a call of nobody.
var ErrInvalidNote = errors.New("fleet: who asks, and why, in up to 512 bytes each")

// Read reads what an operator said.
func (s *OperatorNote) Read(args []byte) error {
	if err := decoder.Unmarshal(args, s); err != nil {
		return err
	}
	if s.By == "" || s.Reason == "" || len(s.By) > maxNoteLength || len(s.Reason) > maxNoteLength {
		return ErrInvalidNote
	}
	return nil
}

// FreezeCommands are the operators' calls by which nothing is settled of itself, and by which it is again.
func FreezeCommands() map[string]CommandHandler {
	return map[string]CommandHandler{
		"freeze": func(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
			var s OperatorNote
			if err := s.Read(args); err != nil {
				return nil, err
			}
			if m, ok := p.Frozen(); ok && m.By == s.By && m.Reason == s.Reason {
				return nil, nil
			}
			return map[string]cbor.RawMessage{SectionFreeze: encode(OperatorMark{s.By, s.Reason, unix})}, nil
		},
		"thaw": func(p *Plan, args []byte, _ int64) (map[string]cbor.RawMessage, error) {
			var s OperatorNote
			if err := s.Read(args); err != nil {
				return nil, err
			}
			if _, ok := p.Frozen(); !ok {
				return nil, nil
			}
			return map[string]cbor.RawMessage{SectionFreeze: nil}, nil
		},
	}
}
