# At nine tenths of the capacity a zone crashes and restarts in slow start. The rest cannot serve all load, and no server may be overloaded.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.9, length = 50)
at(8, down(servers("b")))
at(16, well(servers("b")))
expect(lost = 0, fed = 1.1, full = 26)
