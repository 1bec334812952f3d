# All gateways are restarted by maintenance under load: one at a time, voters last, and the leader at the very end.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 60)
at(4, work(gateways(), gateway("b", 2), seconds = 1.5))
expect(served = 0.98, lost = 0, worked = 6, leaves = 0)
