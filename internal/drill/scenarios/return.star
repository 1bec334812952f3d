# A zone crashes and restarts in slow start. Meanwhile the leader is killed and another gateway is stalled.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 60)
at(6, down(servers("b")))
at(14, well(servers("b")))
at(20, kill(leader(), back = 4))
at(24, stall(gateway("c", 2), seconds = 5))
expect(lost = 0, fed = 1.1, full = 26)
