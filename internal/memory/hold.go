package memory

import "sync/atomic"

// Hold is a number of bytes that were acquired and are released once, whoever does it first. A nil Hold stands for none. It is safe for
// concurrent use.
type Hold struct {
	account *Account
	use     Use
	bytes   atomic.Int64
}

// NewHold returns a hold of bytes that were acquired for a use. It returns nil if there are none.
func NewHold(a *Account, u Use, bytes int64) *Hold {
	if bytes == 0 {
		return nil
	}
	h := &Hold{account: a, use: u}
	h.bytes.Store(bytes)
	return h
}

// Release releases the bytes. Further calls do nothing.
func (h *Hold) Release() {
	if h != nil {
		h.account.Release(h.use, h.bytes.Swap(0))
	}
}
