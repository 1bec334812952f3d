# A zone's servers crash and restart in slow start.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 45)
at(10, down(servers("b")))
at(20, well(servers("b")))
expect(lost = 0, fed = 1.1, full = 26)
