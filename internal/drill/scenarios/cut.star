# The links between two zones are cut; the third zone reaches both.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 35)
at(10, cut(zone("a"), zone("b")))
at(20, heal())
expect(lost = 0)
