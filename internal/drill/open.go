package drill

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/link"
	"dewhitch/internal/standin/zookeeper"
)

// classesOf returns the request classes of a drill. kind is the argument cls of its scenario: safe, keyed or unsafe for a single class,
// or mixed for all three.
func classesOf(kind string) []class {
	safe := class{query: true, Class: standin.Class{
		Name:     "space-query",
		Aim:      1500 * time.Millisecond,
		Deadline: 4 * time.Second,
		Effect:   "safe",
		Points:   1,
	}}
	idempotent := class{Class: standin.Class{
		Name:        "booking",
		Aim:         2 * time.Second,
		Deadline:    5 * time.Second,
		DedupWindow: 3 * time.Second,
		Effect:      "keyed",
		Group:       "all",
		Points:      5,
	}}
	unsafe := class{Class: standin.Class{
		Name:     "release",
		Aim:      2 * time.Second,
		Deadline: 5 * time.Second,
		Effect:   "unsafe",
		Points:   2,
	}}
	if kind == "mixed" {
		return []class{safe, idempotent, unsafe}
	}
	return []class{map[string]class{"safe": safe, "keyed": idempotent, "unsafe": unsafe}[kind]}
}

// plansOf returns the customers' plans for a rate, in requests per second, of each customer.
func plansOf(rate float64) []standin.Plan {
	return []standin.Plan{
		{Name: "basic", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, OverrunCost: 0.8, Pays: 0.8},
		{Name: "regular", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, BeyondEarns: 0.2, Pays: 1.1},
		{Name: "fleet", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, CapRate: 4*rate + 8, HardBurst: 20*rate + 20,
			Tolerance: 2*rate + 2, Open: int(20*rate) + 40, OverrunCost: 1, Pays: 1.4},
	}
}

// open starts the stand-ins, the links and the processes, and waits until the processes form a fleet.
func (c *cluster) open() error {
	c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	c.classes = classesOf(c.Class)
	c.plans = plansOf(c.rate() / float64(c.Customers))
	c.draining = map[string]bool{}
	c.serversByName = map[string]*server{}
	c.gatewaysByName = map[string]*gateway{}
	c.checker = newRuleChecker(c.classes, c.plans)
	c.net = link.NewNet(c.Seed)
	c.startedAt = time.Now()
	if err := c.openStandins(); err != nil {
		return err
	}
	c.addGateways()
	c.fleetLog = newFleetLog(c)
	for _, g := range c.gateways {
		if err := c.configure(g); err != nil {
			return err
		}
	}
	if err := c.startGateways(); err != nil {
		return err
	}
	c.generator = newLoadGenerator(c)
	if c.coordinated() {
		return c.fleetLog.waitFormed(processTimeout)
	}
	return nil
}

// openStandins starts the servers, the counter and, if the scenario uses one, the registry.
func (c *cluster) openStandins() (err error) {
	for _, zone := range c.Zones {
		for i := range c.Servers {
			s := &server{
				cluster: c,
				name:    serverName(zone, i+1),
				index:   len(c.servers),
				model:   newServerModel(serverCores, serverQueue, meanWork),
			}
			c.servers = append(c.servers, s)
			c.serversByName[s.name] = s
		}
	}
	if c.backends, err = standin.NewBackends(len(c.servers), false, c.serveCommand); err != nil {
		return err
	}
	c.backends.OnCommand = c.observeCommand
	if c.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	if c.Discovery == "registry" {
		c.registry, err = zookeeper.New()
	}
	return err
}

// addGateways creates the gateways and reserves their addresses.
func (c *cluster) addGateways() {
	for _, zone := range c.Zones {
		for i := range c.Gateways {
			g := &gateway{
				name:            gatewayName(zone, i+1),
				zone:            zone,
				number:          len(c.gateways),
				fleetAddress:    standin.OwnAddr(),
				operatorAddress: standin.OwnAddr(),
				adminAddress:    standin.OwnAddr(),
			}
			c.gateways = append(c.gateways, g)
			c.gatewaysByName[g.name] = g
		}
	}
}

// startGateways starts all processes concurrently and puts them into rotation.
func (c *cluster) startGateways() error {
	var starts sync.WaitGroup
	errs := make([]error, len(c.gateways))
	for i, g := range c.gateways {
		starts.Go(func() { errs[i] = g.Start(processTimeout) })
	}
	starts.Wait()
	for i, g := range c.gateways {
		if errs[i] != nil {
			return errs[i]
		}
		g.inRotation.Store(true)
	}
	return nil
}

// configure opens a gateway's links and writes its files.
func (c *cluster) configure(g *gateway) error {
	g.Name = g.name
	g.Dir = filepath.Join(c.Dir, g.name)
	g.Listen = standin.OwnAddr()
	g.Path = c.Program
	g.Args = []string{"--log-level", c.logLevel(), "--limits", g.File("limits.toml"), "--operations", g.File("operations.toml"), "serve"}
	g.OnLogLine = func(line string) {
		c.fleetLog.readLine(g, line)
		c.traces.add(g.name, line)
	}
	counter, discovery, err := c.openLinks(g)
	if err != nil {
		return err
	}
	config, err := c.gatewayConfig(g, counter, discovery)
	if err != nil {
		return err
	}
	files := map[string]string{
		"config.json":     config,
		"limits.toml":     "listen = \"\"\n",
		"operations.toml": "[warm_start]\nmode = \"off\"\n",
	}
	if c.coordinated() {
		g.Args = append([]string{"--fleet", g.File("fleet.toml")}, g.Args...)
		files["operations.toml"] += fmt.Sprintf("[operator]\nlisten = %q\n", g.operatorAddress)
		if files["fleet.toml"], err = c.fleetFile(g); err != nil {
			return err
		}
	}
	return g.Write(files)
}

// openLinks opens a gateway's links to the servers, the counter and its own discovery service.
func (c *cluster) openLinks(g *gateway) (counter, discovery *link.Link, err error) {
	for _, s := range c.servers {
		l, err := c.net.Open(g.name, s.name, standin.OwnAddr(), c.backends.Nodes[s.index].Addr(), false)
		if err != nil {
			return nil, nil, err
		}
		g.serverLinks = append(g.serverLinks, l)
	}
	listener, err := c.counter.AddListener()
	if err != nil {
		return nil, nil, err
	}
	if counter, err = c.net.Open(g.name, "counter", standin.OwnAddr(), listener.Addr(), false); err != nil {
		return nil, nil, err
	}
	if g.discovery, err = standin.NewDiscovery(c.endpointList(g), 1); err != nil {
		return nil, nil, err
	}
	discovery, err = c.net.Open(g.name, "director", standin.OwnAddr(), g.discovery.Addr(), false)
	return counter, discovery, err
}

// gatewayConfig returns a gateway's configuration file, as the platform supplies it.
func (c *cluster) gatewayConfig(g *gateway, counter, discovery *link.Link) (string, error) {
	zones, own := []string{}, 0
	for i, zone := range c.Zones {
		zones = append(zones, "hall-"+zone)
		if zone == g.zone {
			own = i
		}
	}
	var classes []standin.Class
	for _, requestClass := range c.classes {
		classes = append(classes, requestClass.Class)
	}
	return standin.Config{
		Name:      g.name,
		Listen:    g.Listen,
		Discovery: discovery.Addr(),
		Counter:   counter.Addr(),
		Admin:     g.adminAddress,
		Seed:      c.Seed + uint64(g.number),
		Instances: len(c.Zones) * c.Gateways,
		Number:    g.number,
		Zones:     zones,
		Zone:      own,
		Plans:     c.plans,
		Classes:   classes,
	}.JSON()
}

// logLevel returns the log level of the gateways. Attempts of a request are logged at the debug level only, and a drill in which
// clients close their connections needs them to explain violations.
func (c *cluster) logLevel() string {
	if c.DepartRatio > 0 {
		return "debug"
	}
	return "info"
}
