# All servers are restarted by maintenance under load, in the order that the fleet plans.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 180)
at(4, work(servers(), gateway("b", 2), seconds = 4))
expect(served = 0.98, lost = 0, worked = 12)
