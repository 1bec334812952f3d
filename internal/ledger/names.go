package ledger

import "strconv"

// Names holds the names of plans and classes. The numbers in keys are indexes into them.
type Names struct {
	Plans   []string `json:"Plans"`
	Classes []string `json:"Classes"`
}

// CustomerText returns the form of a customer in commands and exports: 16 hexadecimal digits, or "others" for Others.
func CustomerText(customer uint64) string {
	if customer == Others {
		return "others"
	}
	s := strconv.FormatUint(customer, 16)
	return "0000000000000000"[min(16, len(s)):] + s
}

// Plan returns the name of a plan, or its number if it has no name.
func (n Names) Plan(i int16) string { return nameOf(n.Plans, i, map[int16]string{NoPlan: "-"}) }

// Class returns the name of a class, or its number if it has no name.
func (n Names) Class(i int16) string {
	return nameOf(n.Classes, i, map[int16]string{ClassQuery: "limit.get", ClassAdjust: "limit.adjust",
		ClassAccount: "account"})
}

// nameOf returns the name of i among the reserved names or names, or i in decimal.
func nameOf(names []string, i int16, reserved map[int16]string) string {
	if s, ok := reserved[i]; ok {
		return s
	}
	if i >= 0 && int(i) < len(names) {
		return names[i]
	}
	return strconv.Itoa(int(i))
}
