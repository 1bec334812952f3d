package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A customer whose account has expired is treated as a new one.
func TestIdleAccountsExpire(t *testing.T) {
	b := newHarness(t, settings(), dw.Endpoint{ID: 7})
	for range 2 {
		if admitted := b.serve(20, ms, dw.Arrival{Customer: 1}); admitted < 5 || admitted > 6 {
			t.Errorf("%d admitted at once", admitted)
		}
		b.advance(150 * sec)
	}
}

// Accounts of customers that come once expire, so that a long day holds no more of them than a short one.
func TestAccountsOfOneTimeCustomersExpire(t *testing.T) {
	b := newHarness(t, settings(), dw.Endpoint{ID: 7})
	for i := range 400 {
		b.serve(1, 100*ms, dw.Arrival{Customer: dw.CustomerID(1000 + i)})
	}
	if n := b.g.Accounts(); n > 250 {
		t.Errorf("%d accounts after 400 customers in 40 s, whose windows last 6 s", n)
	}
}
