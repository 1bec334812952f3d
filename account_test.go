package dewhitch_test

import (
	"testing"

	dw "dewhitch"
)

// A customer that returns after its account has expired is treated as a new one and gets a full burst.
func TestIdleAccountsExpire(t *testing.T) {
	h := newHarness(t, settings(), dw.Endpoint{ID: 7})
	for range 2 {
		if admitted := h.serve(20, millisecond, dw.Arrival{Customer: 1}); admitted < 5 || admitted > 6 {
			t.Errorf("got %d requests admitted, expected 5 or 6", admitted)
		}
		h.advance(150 * second)
	}
}

// Accounts of customers that come only once must expire: otherwise their number grows with the running time.
func TestAccountsOfOneTimeCustomersExpire(t *testing.T) {
	h := newHarness(t, settings(), dw.Endpoint{ID: 7})
	for i := range 400 {
		h.serve(1, 100*millisecond, dw.Arrival{Customer: dw.CustomerID(1000 + i)})
	}
	if n := h.gateway.Accounts(); n > 250 {
		t.Errorf("got %d accounts after 400 customers in 40 s with windows of 6 s, expected at most 250", n)
	}
}
