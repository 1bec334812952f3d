# No faults, at 600 requests a second per gateway. Run it with and without --uncoordinated to measure the cost of the fleet view.
fleet(zones = ["a", "b", "c"], gateways = 1, servers = 14, hauliers = 60, rate = 1800, length = 15)
expect(served = 0.95, lost = 0, excused = 0)
