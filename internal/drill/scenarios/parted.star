# The fleet is partitioned 2|4, then 3|3, then one process receives but cannot send. A plan is settled in each partition.
fleet(zones = ["a", "b", "c"], gateways = 2, servers = 4, hauliers = 40, load = 0.4, length = 34)
def part(t, one, other):
    for a in one:
        for b in other:
            at(t, cut(a, b))
g = {z + str(i): gateway(z, i) for z in ["a", "b", "c"] for i in [1, 2]}
part(2, [g["a1"], g["a2"]], [g["b1"], g["b2"], g["c1"], g["c2"]])
at(5, freeze(g["b2"]))
at(9, heal())
part(12, [g["a1"], g["a2"], g["b2"]], [g["b1"], g["c1"], g["c2"]])
at(15, thaw(g["c2"]))
at(19, heal())
at(22, cut(g["c1"], gateways(), one_way = True))
at(25, freeze(g["a2"]))
at(28, heal())
at(31, thaw(g["c1"]))
expect(served = 0.9, lost = 0, plans = 6, seen = 1.0)
