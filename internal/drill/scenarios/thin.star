# Thin traffic, nothing may be repeated: thirty gateways see two reqs a second each, and a zone falls silent.
fleet(zones = ["a", "b", "c"], gateways = 10, servers = 4, hauliers = 60, rate = 60, length = 40, cls = "unsafe")
at(15, silent(servers("b")))
at(25, well(servers("b")))
expect(lost = 0)
