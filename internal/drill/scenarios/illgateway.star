# One gateway's links to two zones are cut and another gateway is stalled. The faults are the gateways' own: the fleet must not evacuate.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.5, length = 24)
at(5, cut(gateway("a", 2), servers("b")))
at(5, cut(gateway("a", 2), servers("c")))
at(11, heal())
at(15, stall(gateway("c", 2), seconds = 3))
expect(lost = 0, leaves = 0)
