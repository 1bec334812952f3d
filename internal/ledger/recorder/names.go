package recorder

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"dewhitch/internal/ledger"
)

// intern numbers a name, bounded and checked: at a forwarder names are what clients write, and they become labels and columns.
func (rec *Recorder) intern(table int, names *[]string, s string) int16 {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
		s = Overflow
	}
	if n, ok := rec.numberByName[table][s]; ok {
		return n
	}
	if len(*names) >= maxNames {
		s = Overflow
		if n, ok := rec.numberByName[table][s]; ok {
			return n
		}
	}
	n := int16(len(*names))
	*names = append(*names, s)
	rec.numberByName[table][s] = n
	return n
}

// Row is the key of a customer's requests of a plan and class, by their places in the settings; a class below 0 is one of the
// ledger's own.
func (rec *Recorder) Row(customer uint64, plan, class int) ledger.Key {
	k := ledger.Key{Customer: customer, Plan: rec.planNumbers[plan], Class: int16(class)}
	if class >= 0 {
		k.Class = rec.classNumbers[class]
	}
	return k
}

// RowByName is the same for those who do not have the settings.
func (rec *Recorder) RowByName(customer uint64, plan, class string) ledger.Key {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return ledger.Key{Customer: customer, Plan: rec.intern(0, &rec.names.Plans, plan),
		Class: rec.intern(1, &rec.names.Classes, class)}
}
