package ledger

import (
	"math"
)

// Key names a row: what one customer asked for, under one plan and class. The numbers of plans and classes are the
// recorder's (it knows their names).
type Key struct {
	Customer uint64 `json:"Customer"`
	Plan     int16  `json:"Plan"`
	Class    int16  `json:"Class"`
}

// Others is the customer of the rows into which those of evicted customers are rolled up, by plan and class.
const Others = math.MaxUint64

// The classes that no settings have.
const (
	ClassQuery   int16 = -1 - iota // queries of a limit
	ClassAdjust                    // units taken or given back
	ClassAccount                   // a customer's account: units drawn, and what the counter was told; of no plan
)

// NoPlan is the plan of account rows.
const NoPlan int16 = -1

// Account is the key of a customer's account.
func Account(customer uint64) Key { return Key{customer, NoPlan, ClassAccount} }
