package dewhitch_test

import (
	"fmt"

	dw "dewhitch"
)

// A gateway receives events and returns the actions that the caller carries out.
func Example() {
	g, err := dw.New(dw.Settings{
		Instances: 2, Zones: 1, Tick: 1e6, MaxAttempts: 3, MayCancel: true,
		Counter: true, CounterTimeout: 50e6, MaxUnits: 1,
		Classes: []dw.Class{{Objective: 400e6, Deadline: 800e6, Weight: 1, Idempotency: dw.Idempotent}},
		Plans:   []dw.Plan{{Rate: 1, Burst: 2, WeightFactor: 1, OverQuotaCost: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := dw.Instant(1e9)
	g.Handle(now, dw.EndpointList{Servers: []dw.Endpoint{{ID: 7}}}, nil)
	for _, id := range []dw.RequestID{"a", "b", "c"} {
		e := dw.Arrival{ID: id, Customer: 42, Remaining: 800e6, Units: 1, Spread: 1}
		for _, a := range g.Handle(now, e, nil) {
			switch a := a.(type) {
			case dw.StartAttempt:
				fmt.Println(a.Request, "goes to server", a.Server)
			case dw.Reject:
				fmt.Println(a.Request, "is rejected")
			}
		}
	}
	// Output:
	// a goes to server 7
	// b goes to server 7
	// c is rejected
}
