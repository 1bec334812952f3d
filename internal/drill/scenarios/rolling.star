# A release restarts the servers of a zone one after the other.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.4, length = 30)
for i in range(4):
    at(4 + 5 * i, down(server("b", i + 1)))
    at(6 + 5 * i, well(server("b", i + 1)))
expect(lost = 0, leaves = 0)
