// Package statement exports a ledger's figures as records: JSON lines that are numbered and hash-chained by node, so that a reader
// can prove that it has each of them once, or CSV. It also verifies records, and merges those of several nodes. It does I/O only
// through the readers and writers that it is passed.
package statement

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"dewhitch/internal/ledger"
)

// The kinds of records.
const (
	Figures       = "figures" // the counts of one row in a period
	AttemptRecord = "try"     // one attempt of a client at a request that has an idempotency key
	StartRecord   = "life"    // the start of an incarnation; the next figures include the postings that closed the previous one
	Gap           = "gap"     // a loss of figures, which the note describes
)

// The roles of a node.
const (
	Gateway   = "gateway"
	Forwarder = "forwarder"
)

// Record is one line of an export.
type Record struct {
	Seq         uint64         `json:"seq"` // number of the record, by node from 1 without gaps
	Node        string         `json:"node"`
	Role        string         `json:"role"`
	Incarnation uint64         `json:"life"` // number of the incarnation, from 1
	Kind        string         `json:"kind"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
	Customer    string         `json:"haulier,omitempty"` // hash of the customer
	Plan        string         `json:"plan,omitempty"`
	Class       string         `json:"class,omitempty"`
	Figures     *ledger.Counts `json:"-"`                  // figures of a record of kind Figures, in the form of AppendFigures
	Key         string         `json:"key_hash,omitempty"` // hash of the idempotency key of an AttemptRecord
	End         string         `json:"end,omitempty"`      // name of the event that ended the attempt of an AttemptRecord
	Note        string         `json:"note,omitempty"`
	Chain       string         `json:"chain"` // hash of the previous record's chain and this record
}

// Seal computes and sets the record's chain from that of the previous record, and appends the record's line to b, without a newline.
func (r *Record) Seal(b []byte, previousChain string) []byte {
	start := len(b)
	b = r.append(b)
	h := sha256.New()
	h.Write([]byte(previousChain))
	h.Write(b[start:])
	var sum [sha256.Size]byte
	r.Chain = hex.EncodeToString(h.Sum(sum[:0])[:8])
	return append(appendText(b, `,"chain":`, r.Chain), '}')
}

// append appends the record without its chain and closing brace. The form is canonical, as a reader verifies the chain by writing
// the parsed record again.
func (r *Record) append(b []byte) []byte {
	b = strconv.AppendUint(append(b, `{"seq":`...), r.Seq, 10)
	b = appendText(b, `,"node":`, r.Node)
	b = appendText(b, `,"role":`, r.Role)
	b = strconv.AppendUint(append(b, `,"life":`...), r.Incarnation, 10)
	b = appendText(b, `,"kind":`, r.Kind)
	b = appendTime(b, `,"from":`, r.From)
	b = appendTime(b, `,"to":`, r.To)
	b = appendOptional(b, `,"haulier":`, r.Customer)
	b = appendOptional(b, `,"plan":`, r.Plan)
	b = appendOptional(b, `,"class":`, r.Class)
	b = appendOptional(b, `,"key_hash":`, r.Key)
	b = appendOptional(b, `,"end":`, r.End)
	b = appendOptional(b, `,"note":`, r.Note)
	if r.Figures != nil {
		b = AppendFigures(b, r.Figures)
	}
	return b
}

// AppendFigures appends figures as the members counts and units_millionths of a JSON object, after a preceding member. Both map
// the events' names to their figures, without zeros.
func AppendFigures(b []byte, c *ledger.Counts) []byte {
	b = append(b, `,"counts":{`...)
	first := true
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if c.N[e] == 0 {
			continue
		}
		b = appendEvent(b, e, first)
		b = strconv.AppendUint(b, c.N[e], 10)
		first = false
	}
	b = append(b, `},"units_millionths":{`...)
	first = true
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if c.Units(e) == 0 {
			continue
		}
		b = appendEvent(b, e, first)
		b = strconv.AppendInt(b, c.Units(e), 10)
		first = false
	}
	return append(b, '}')
}

// appendEvent appends an event's name as the name of a member, after a comma unless it is the first.
func appendEvent(b []byte, e ledger.Event, first bool) []byte {
	if !first {
		b = append(b, ',')
	}
	b = append(b, '"')
	b = append(b, e.String()...)
	return append(b, '"', ':')
}

// appendOptional appends a member with a string value, unless the value is empty.
func appendOptional(b []byte, name, s string) []byte {
	if s == "" {
		return b
	}
	return appendText(b, name, s)
}

// appendText appends a member with a string value in the form of json.Marshal.
func appendText(b []byte, name, s string) []byte {
	b = append(b, name...)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(s) // a string can always be marshalled
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// appendTime appends a member with a time in UTC with nanoseconds.
func appendTime(b []byte, name string, at time.Time) []byte {
	b = append(b, name...)
	b = append(b, '"')
	b = at.UTC().AppendFormat(b, time.RFC3339Nano)
	return append(b, '"')
}
