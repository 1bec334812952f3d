package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// Said is what an operator's call brings: who, and why.
type Said struct {
	By  string `cbor:"1,keyasint" json:"by"`
	Why string `cbor:"2,keyasint" json:"why"`
}

// Words encodes what an operator said, as the arguments of an ask.
func Words(by, why string) []byte { return encode(Said{by, why}) }

const mostWords = 512 // bytes of what an operator says

// ErrWho refuses a call of nobody.
var ErrWho = errors.New("fleet: who asks, and why, in up to 512 bytes each")

// Read reads what an operator said.
func (s *Said) Read(args []byte) error {
	if err := decoder.Unmarshal(args, s); err != nil {
		return err
	}
	if s.By == "" || s.Why == "" || len(s.By) > mostWords || len(s.Why) > mostWords {
		return ErrWho
	}
	return nil
}

// Freezing are the operators' calls by which nothing is settled of itself, and by which it is again.
func Freezing() map[string]Decider {
	return map[string]Decider{
		"freeze": func(p *Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
			var s Said
			if err := s.Read(args); err != nil {
				return nil, err
			}
			if m, ok := p.Frozen(); ok && m.By == s.By && m.Why == s.Why {
				return nil, nil
			}
			return map[string]cbor.RawMessage{SectionFreeze: encode(Mark{s.By, s.Why, unix})}, nil
		},
		"thaw": func(p *Plan, args []byte, _ int64) (map[string]cbor.RawMessage, error) {
			var s Said
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
