package ledger

import "strconv"

// Names are the names behind the numbers in keys, in their order.
type Names struct {
	Plans   []string `json:"Plans"`
	Classes []string `json:"Classes"`
}

// CustomerText is a customer as commands and exports have it.
func CustomerText(customer uint64) string {
	if customer == Others {
		return "others"
	}
	s := strconv.FormatUint(customer, 16)
	return "0000000000000000"[min(16, len(s)):] + s
}

// Plan is the word for a plan's number.
func (n Names) Plan(i int16) string { return nameOf(n.Plans, i, map[int16]string{NoPlan: "-"}) }

// Class is the word for a class's number.
func (n Names) Class(i int16) string {
	return nameOf(n.Classes, i, map[int16]string{ClassQuery: "limit.get", ClassAdjust: "limit.adjust",
		ClassAccount: "account"})
}

func nameOf(names []string, i int16, reserved map[int16]string) string {
	if s, ok := reserved[i]; ok {
		return s
	}
	if i >= 0 && int(i) < len(names) {
		return names[i]
	}
	return strconv.Itoa(int(i))
}
