# A zone's servers are five times slower for a while.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 40)
at(10, slow(servers("b"), 5))
at(20, well(servers("b")))
expect(lost = 0)
