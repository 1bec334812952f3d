# Low traffic and no retries: thirty gateways send two requests a second each, and a zone is silent.
fleet(zones = ["a", "b", "c"], gateways = 10, servers = 4, hauliers = 60, rate = 60, length = 40, cls = "unsafe")
at(15, silent(servers("b")))
at(25, well(servers("b")))
expect(lost = 0)
