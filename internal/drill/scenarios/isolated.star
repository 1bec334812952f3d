# A zone is cut off from the others and its own servers are silent. Its gateways can serve no request and must send their clients elsewhere.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.4, length = 40)
at(8, cut(zone("a"), zone("b")))
at(8, cut(zone("a"), zone("c")))
at(8, silent(servers("a")))
at(20, heal())
at(20, well(servers("a")))
expect(lost = 0)
