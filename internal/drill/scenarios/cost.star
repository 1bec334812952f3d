# No faults, at 140 requests a second per gateway. Run it with and without --uncoordinated to measure the cost of the fleet view.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 6, hauliers = 60, rate = 840, length = 15)
expect(served = 0.95, lost = 0, excused = 0)
