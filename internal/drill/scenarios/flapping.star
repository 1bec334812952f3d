# A zone's servers are silent for two seconds and healthy for two, ten times.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.5, length = 50)
for i in range(10):
    at(5 + 4 * i, silent(servers("b")))
    at(7 + 4 * i, well(servers("b")))
expect(lost = 0, served = 0.97)
