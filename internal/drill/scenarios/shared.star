# All servers are slow together for a while, by something that they share; then hauliers press twice as hard on one zone's half.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.5, length = 26)
at(5, slow(servers(), 3))
at(10, well(servers()))
at(16, slow(servers("b"), 2))
at(20, well(servers("b")))
expect(lost = 0, leaves = 0)
