# Nothing goes wrong, at 600 reqs a second a gateway: to be played with and without --uncoordinated, for what the fleet view costs.
fleet(zones = ["a", "b", "c"], gateways = 1, servers = 14, hauliers = 60, rate = 1800, length = 15)
expect(served = 0.95, lost = 0, excused = 0)
