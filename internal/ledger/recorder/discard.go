package recorder

import (
	"dewhitch/internal/ledger"
)

// Discard drops all postings. It stands in for a Recorder in processes that keep no ledger, and has the methods that the packages
// platform, forward, core, backend and counter require of a recorder.
type Discard struct{}

// Ref returns 0, which refers to no request.
func (Discard) Ref() uint64 { return 0 }

// Post drops the posting.
func (Discard) Post(ledger.Posting) {}

// RowByName returns the zero key, because no rows are kept.
func (Discard) RowByName(uint64, string, string) ledger.Key { return ledger.Key{} }

// Row returns the zero key, because no rows are kept.
func (Discard) Row(uint64, int, int) ledger.Key { return ledger.Key{} }
