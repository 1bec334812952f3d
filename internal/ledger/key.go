package ledger

import (
	"math"
)

// Key identifies a row: the requests of one customer under one plan and class. The recorder assigns the numbers of plans and
// classes, and keeps their names.
type Key struct {
	Customer uint64 `json:"Customer"`
	Plan     int16  `json:"Plan"`
	Class    int16  `json:"Class"`
}

// Others is the customer in the keys of rolled-up rows, which sum the evicted rows of a plan and class.
const Others = math.MaxUint64

// Reserved classes, which are not in the settings.
const (
	ClassQuery   int16 = -1 - iota // queries of a customer's limit
	ClassAdjust                    // adjustments of a customer's limit: units taken or given back
	ClassAccount                   // a customer's account: units drawn, and calls to the counter; has no plan
)

// NoPlan is the plan in the keys of account rows.
const NoPlan int16 = -1

// Account returns the key of a customer's account.
func Account(customer uint64) Key { return Key{customer, NoPlan, ClassAccount} }
