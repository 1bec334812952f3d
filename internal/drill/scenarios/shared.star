# All servers are slow for a while, as if a dependency that they share were. Later the servers of one zone run at half speed.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.5, length = 26)
at(5, slow(servers(), 3))
at(10, well(servers()))
at(16, slow(servers("b"), 2))
at(20, well(servers("b")))
expect(lost = 0, leaves = 0)
