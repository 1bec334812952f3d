# A zone's servers accept all commands and answer none, and then recover.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 40)
at(10, silent(servers("b")))
at(20, well(servers("b")))
expect(lost = 0)
