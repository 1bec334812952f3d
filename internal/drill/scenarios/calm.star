# No faults: the reference for all other scenarios.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 20)
expect(served = 0.98, lost = 0, excused = 0)
