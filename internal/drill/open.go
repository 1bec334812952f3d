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

// classesOf returns the request classes of a drill: their priority weight, deadlines and whether they are idempotent.
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

// plansOf returns the customers' plans, for a rate of requests a second of each customer.
func plansOf(rate float64) []standin.Plan {
	return []standin.Plan{
		{Name: "basic", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, OverrunCost: 0.8, Pays: 0.8},
		{Name: "regular", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, BeyondEarns: 0.2, Pays: 1.1},
		{Name: "fleet", QuotaRate: 2*rate + 2, Depth: 10*rate + 10, CapRate: 4*rate + 8, HardBurst: 20*rate + 20,
			Tolerance: 2*rate + 2, Open: int(20*rate) + 40, OverrunCost: 1, Pays: 1.4},
	}
}

// open starts the stand-ins, the links and the processes, and waits until these form a fleet.
func (cl *cluster) open() error {
	cl.rng = rand.New(rand.NewPCG(cl.Seed, 1))
	cl.classes = classesOf(cl.Class)
	cl.plans = plansOf(cl.rate() / float64(cl.Customers))
	cl.draining = map[string]bool{}
	cl.serversByName = map[string]*server{}
	cl.gatewaysByName = map[string]*gateway{}
	cl.checker = newRuleChecker(cl.classes, cl.plans)
	cl.net = link.NewNet(cl.Seed)
	cl.startedAt = time.Now()
	if err := cl.openStandins(); err != nil {
		return err
	}
	cl.addGateways()
	cl.fleetLog = newFleetLog(cl)
	for _, g := range cl.gateways {
		if err := cl.configure(g); err != nil {
			return err
		}
	}
	if err := cl.startGateways(); err != nil {
		return err
	}
	cl.generator = newLoadGenerator(cl)
	if cl.coordinated() {
		return cl.fleetLog.waitFormed(processTimeout)
	}
	return nil
}

// openStandins starts the servers, the counter and the registry.
func (cl *cluster) openStandins() (err error) {
	for _, zone := range cl.Zones {
		for i := range cl.Servers {
			s := &server{
				cluster: cl,
				name:    serverName(zone, i+1),
				index:   len(cl.servers),
				model:   newServerModel(serverCores, serverQueue, meanWork),
			}
			cl.servers = append(cl.servers, s)
			cl.serversByName[s.name] = s
		}
	}
	if cl.backends, err = standin.NewBackends(len(cl.servers), false, cl.serveCommand); err != nil {
		return err
	}
	cl.backends.OnCommand = cl.observeCommand
	if cl.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	if cl.Discovery == "registry" {
		cl.registry, err = zookeeper.New()
	}
	return err
}

// addGateways reserves the gateways' addresses.
func (cl *cluster) addGateways() {
	for _, zone := range cl.Zones {
		for i := range cl.Gateways {
			g := &gateway{
				name:            gatewayName(zone, i+1),
				zone:            zone,
				number:          len(cl.gateways),
				fleetAddress:    standin.OwnAddr(),
				operatorAddress: standin.OwnAddr(),
				adminAddress:    standin.OwnAddr(),
			}
			cl.gateways = append(cl.gateways, g)
			cl.gatewaysByName[g.name] = g
		}
	}
}

// startGateways starts all processes at once and takes them into rotation.
func (cl *cluster) startGateways() error {
	var starts sync.WaitGroup
	errs := make([]error, len(cl.gateways))
	for i, g := range cl.gateways {
		starts.Go(func() { errs[i] = g.Start(processTimeout) })
	}
	starts.Wait()
	for i, g := range cl.gateways {
		if errs[i] != nil {
			return errs[i]
		}
		g.inRotation.Store(true)
	}
	return nil
}

// configure opens a gateway's links and writes its files.
func (cl *cluster) configure(g *gateway) error {
	g.Name = g.name
	g.Dir = filepath.Join(cl.Dir, g.name)
	g.Listen = standin.OwnAddr()
	g.Path = cl.Program
	g.Args = []string{"--log-level", cl.logLevel(), "--limits", g.File("limits.toml"), "--operations", g.File("operations.toml"), "serve"}
	g.Env = []string{"TMPDIR=" + g.Dir}
	g.OnLogLine = func(line string) {
		cl.fleetLog.line(g, line)
		cl.traces.add(g.name, line)
	}
	counter, discovery, err := cl.openLinks(g)
	if err != nil {
		return err
	}
	config, err := cl.gatewayConfig(g, counter, discovery)
	if err != nil {
		return err
	}
	files := map[string]string{
		"config.json":     config,
		"limits.toml":     "listen = \"\"\n",
		"operations.toml": "[warm_start]\nmode = \"off\"\n",
	}
	if cl.coordinated() {
		g.Args = append([]string{"--fleet", g.File("fleet.toml")}, g.Args...)
		files["operations.toml"] += fmt.Sprintf("[operator]\nlisten = %q\n", g.operatorAddress)
		if files["fleet.toml"], err = cl.fleetFile(g); err != nil {
			return err
		}
	}
	return g.Write(files)
}

// openLinks opens a gateway's links to the servers, the counter and its discovery service.
func (cl *cluster) openLinks(g *gateway) (counter, discovery *link.Link, err error) {
	for _, s := range cl.servers {
		l, err := cl.net.Open(g.name, s.name, standin.OwnAddr(), cl.backends.Nodes[s.index].Addr(), false)
		if err != nil {
			return nil, nil, err
		}
		g.serverLinks = append(g.serverLinks, l)
	}
	door, err := cl.counter.AddListener()
	if err != nil {
		return nil, nil, err
	}
	if counter, err = cl.net.Open(g.name, "counter", standin.OwnAddr(), door.Addr(), false); err != nil {
		return nil, nil, err
	}
	if g.discovery, err = standin.NewDiscovery(cl.endpointList(g), 1); err != nil {
		return nil, nil, err
	}
	discovery, err = cl.net.Open(g.name, "director", standin.OwnAddr(), g.discovery.Addr(), false)
	return counter, discovery, err
}

// gatewayConfig is the platform's settings of a gateway.
func (cl *cluster) gatewayConfig(g *gateway, counter, discovery *link.Link) (string, error) {
	zones, own := []string{}, 0
	for i, zone := range cl.Zones {
		zones = append(zones, "hall-"+zone)
		if zone == g.zone {
			own = i
		}
	}
	var classes []standin.Class
	for _, c := range cl.classes {
		classes = append(classes, c.Class)
	}
	return standin.Config{
		Name:      g.name,
		Listen:    g.Listen,
		Discovery: discovery.Addr(),
		Counter:   counter.Addr(),
		Admin:     g.adminAddress,
		Seed:      cl.Seed + uint64(g.number),
		Instances: len(cl.Zones) * cl.Gateways,
		Number:    g.number,
		Zones:     zones,
		Zone:      own,
		Plans:     cl.plans,
		Classes:   classes,
	}.JSON()
}

// logLevel is that of the gateways' logs. The attempts of a request are logged for debugging only; a drill in which clients close their
// connections needs them.
func (cl *cluster) logLevel() string {
	if cl.LeaveRatio > 0 {
		return "debug"
	}
	return "info"
}
