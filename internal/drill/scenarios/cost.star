# Nothing goes wrong, at 140 reqs a second a gateway: to be played with and without --uncoordinated, for what the fleet view costs.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 6, hauliers = 60, rate = 840, length = 15)
expect(served = 0.95, lost = 0, excused = 0)
