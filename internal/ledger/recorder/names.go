package recorder

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"dewhitch/internal/ledger"
)

// intern returns the number of a name, and assigns one to a new name. Invalid names and those beyond the limits get the number of
// Overflow, because at a forwarder clients choose the names, which become metric labels and columns. table is the index of the
// plans or the classes in numberByName, and names is their list.
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

// Row returns the key of a customer's requests of a plan and class, by their indexes in the settings; a class below 0 is one of
// the ledger's reserved classes.
func (rec *Recorder) Row(customer uint64, plan, class int) ledger.Key {
	k := ledger.Key{Customer: customer, Plan: rec.planNumbers[plan], Class: int16(class)}
	if class >= 0 {
		k.Class = rec.classNumbers[class]
	}
	return k
}

// RowByName returns the key of a customer's requests of a plan and class, by their names. It is for callers without the settings.
func (rec *Recorder) RowByName(customer uint64, plan, class string) ledger.Key {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return ledger.Key{Customer: customer, Plan: rec.intern(0, &rec.names.Plans, plan),
		Class: rec.intern(1, &rec.names.Classes, class)}
}
