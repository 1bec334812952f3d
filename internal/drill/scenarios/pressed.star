# At nine tenths of what all servers can do a zone dies and comes back cold: the rest can't serve all, and none may be pushed over.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.9, length = 50)
at(8, down(servers("b")))
at(16, well(servers("b")))
expect(lost = 0, fed = 1.1, full = 26)
