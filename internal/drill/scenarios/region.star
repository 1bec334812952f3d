# The servers of a region, two of six zones, are silent together.
fleet(zones = ["a", "b", "c", "d", "e", "f"], gateways = 1, servers = 2, hauliers = 40, load = 0.4, length = 30, regions = {"south": ["b", "c"], "north": ["a", "f"], "west": ["d", "e"]})
at(8, silent(servers("b")))
at(8, silent(servers("c")))
at(16, well(servers("b")))
at(16, well(servers("c")))
expect(lost = 0)
