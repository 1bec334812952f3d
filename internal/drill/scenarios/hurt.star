# One gateway is killed and restarted, one is stalled, and one is restarted gracefully.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.6, length = 30)
at(5, kill(gateway("a", 1), back = 3))
at(12, stall(gateway("b", 1), seconds = 3))
at(20, term(gateway("c", 2), back = 2))
expect(lost = 0)
