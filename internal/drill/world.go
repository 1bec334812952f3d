package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/link"
	"dewhitch/internal/standin/zookeeper"
)

const (
	patience  = 30 * time.Second // for a process to listen, and to end
	frontOff  = 300 * time.Millisecond
	frontLook = 200 * time.Millisecond // between two looks of the clients' front at a gateway
	frontWait = time.Second            // for its answer
	coresEach = 3
	room      = 60
	meanWork  = 50 * time.Millisecond
)

// worth of a class, and its rules.
func classesOf(kind string) []class {
	all := map[string]class{
		"safe": {standin.Class{Name: "space-query", Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Effect: "safe",
			Points: 1}, true},
		"keyed": {standin.Class{Name: "booking", Aim: 2 * time.Second, Deadline: 5 * time.Second, DedupWindow: 3 * time.Second,
			Effect: "keyed", Group: "all", Points: 5}, false},
		"unsafe": {standin.Class{Name: "release", Aim: 2 * time.Second, Deadline: 5 * time.Second, Effect: "unsafe",
			Points: 2}, false}}
	if kind == "mixed" {
		return []class{all["safe"], all["keyed"], all["unsafe"]}
	}
	return []class{all[kind]}
}

// gateway is one process of the program.
type gateway struct {
	standin.Process
	name, zone string
	number     int
	talk, show string // where it speaks to the fleet, and its operators' listener
	admin      string // its operators' address
	discovery  *standin.Discovery
	servers    []*link.Link // by server

	mu      sync.Mutex
	hurt    []span      // when the script had it dead, stopped or leaving
	expects bool        // the script ended it
	in      atomic.Bool // the clients' front sends it reqs
	cpu     time.Duration
}

// span is a stretch of time; a zero end: it goes on.
type span struct{ from, to time.Time }

// server is one modelled server.
type server struct {
	w    *world
	name string
	at   int
	m    *machine // under the farm's lock, but for its owner's set
	off  bool
}

// world is all of a drill.
type world struct {
	*Scenario
	Options
	began    time.Time
	net      *link.Net
	farm     *standin.Backends
	counter  *standin.Counter
	registry *zookeeper.Server // nil: members find one another by seeds
	servers  []*server
	byServer map[string]*server
	gateways []*gateway
	byName   map[string]*gateway
	judge    *judge
	fleet    *fleetLog
	traces   traces
	load     *load
	plans    []standin.Plan
	classes  []class

	mu       sync.Mutex
	draining map[string]bool
	revision int
	timeline []Moment
	turns    []Turn     // machines that were worked on
	asked    int        // machines that work was asked for
	restarts []restart  // servers that came back cold
	rng      *rand.Rand // of the farm's draws, under its lock
	all      sync.WaitGroup
	stop     context.CancelFunc
}

// Moment is one line of the timeline.
type Moment struct {
	At   float64 `json:"at"` // seconds since the load began
	What string  `json:"what"`
}

func (w *world) say(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeline = append(w.timeline, Moment{time.Since(w.began).Seconds(), fmt.Sprintf(format, a...)})
}

// rate of reqs a second.
func (w *world) rate() float64 {
	if w.Rate > 0 {
		return w.Rate
	}
	return w.Load * float64(len(w.Zones)*w.Servers*coresEach) / meanWork.Seconds()
}

// open starts stand-ins, links and processes.
func (w *world) open() (err error) {
	w.rng = rand.New(rand.NewPCG(w.Seed, 1))
	w.classes, w.draining, w.revision = classesOf(w.Class), map[string]bool{}, 1
	w.byServer, w.byName = map[string]*server{}, map[string]*gateway{}
	each := w.rate() / float64(w.Hauliers)
	w.plans = []standin.Plan{
		{Name: "basic", QuotaRate: 2*each + 2, Depth: 10*each + 10, OverrunCost: 0.8, Pays: 0.8},
		{Name: "regular", QuotaRate: 2*each + 2, Depth: 10*each + 10, BeyondEarns: 0.2, Pays: 1.1},
		{Name: "fleet", QuotaRate: 2*each + 2, Depth: 10*each + 10, CapRate: 4*each + 8, HardBurst: 20*each + 20,
			Tolerance: 2*each + 2, Open: int(20*each) + 40, OverrunCost: 1, Pays: 1.4}}
	w.judge = newJudge(w.classes, w.plans)
	w.net, w.began = link.NewNet(w.Seed), time.Now()
	for _, z := range w.Zones {
		for i := range w.Servers {
			s := &server{w: w, name: serverName(z, i+1), at: len(w.servers), m: newMachine(coresEach, room, meanWork)}
			w.servers, w.byServer[s.name] = append(w.servers, s), s
		}
	}
	if w.farm, err = standin.NewBackends(len(w.servers), false, w.serve); err != nil {
		return err
	}
	w.farm.Watch = w.watch
	if w.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	if w.Found == "registry" {
		if w.registry, err = zookeeper.New(); err != nil {
			return err
		}
	}
	for _, z := range w.Zones {
		for i := range w.Gateways {
			g := &gateway{name: gatewayName(z, i+1), zone: z, number: len(w.gateways), talk: standin.OwnAddr(), show: standin.OwnAddr(),
				admin: standin.OwnAddr()}
			w.gateways, w.byName[g.name] = append(w.gateways, g), g
		}
	}
	w.fleet = newFleetLog(w)
	for _, g := range w.gateways {
		if err := w.equip(g); err != nil {
			return err
		}
	}
	var all sync.WaitGroup
	faults := make([]error, len(w.gateways))
	for i, g := range w.gateways {
		all.Go(func() { faults[i] = g.Start(patience) })
	}
	all.Wait()
	for i, g := range w.gateways {
		if faults[i] != nil {
			return faults[i]
		}
		g.in.Store(true)
	}
	w.load = newLoad(w)
	if w.coordinated() {
		return w.fleet.formed(patience)
	}
	return nil
}

// coordinated tells whether the processes form a fleet.
func (w *world) coordinated() bool { return w.Coordinated && !w.Uncoordinated && !w.Told }

// equip makes a gateway's links and files.
func (w *world) equip(g *gateway) error {
	g.Name, g.Dir, g.Listen, g.Path = g.name, filepath.Join(w.Dir, g.name), standin.OwnAddr(), w.Program
	g.Args = []string{"--log-level", w.logLevel(), "--limits", g.File("limits.toml"), "--operations", g.File("operations.toml"), "serve"}
	g.Env = []string{"TMPDIR=" + g.Dir}
	g.Line = func(line string) {
		w.fleet.line(g, line)
		w.traces.add(g.name, line)
	}
	for _, s := range w.servers {
		l, err := w.net.Open(g.name, s.name, standin.OwnAddr(), w.farm.Nodes[s.at].Addr(), false)
		if err != nil {
			return err
		}
		g.servers = append(g.servers, l)
	}
	door, err := w.counter.Door()
	if err != nil {
		return err
	}
	counter, err := w.net.Open(g.name, "counter", standin.OwnAddr(), door.Addr(), false)
	if err != nil {
		return err
	}
	if g.discovery, err = standin.NewDiscovery(w.members(g), 1); err != nil {
		return err
	}
	discovery, err := w.net.Open(g.name, "director", standin.OwnAddr(), g.discovery.Addr(), false)
	if err != nil {
		return err
	}
	zones, own := []string{}, 0
	for i, z := range w.Zones {
		zones = append(zones, "hall-"+z)
		if z == g.zone {
			own = i
		}
	}
	var classes []standin.Class
	for _, c := range w.classes {
		classes = append(classes, c.Class)
	}
	config, err := standin.Config{Name: g.name, Listen: g.Listen, Discovery: discovery.Addr(), Counter: counter.Addr(), Admin: g.admin,
		Seed: w.Seed + uint64(g.number), Instances: len(w.Zones) * w.Gateways, Number: g.number, Zones: zones, Zone: own, Plans: w.plans,
		Classes: classes}.JSON()
	if err != nil {
		return err
	}
	files := map[string]string{"config.json": config, "limits.toml": "listen = \"\"\n", "operations.toml": "[warm_start]\nmode = \"off\"\n"}
	if w.coordinated() {
		g.Args = append([]string{"--fleet", g.File("fleet.toml")}, g.Args...)
		files["operations.toml"] += fmt.Sprintf("[operator]\nlisten = %q\n", g.show)
		if files["fleet.toml"], err = w.fleetFile(g); err != nil {
			return err
		}
	}
	return g.Write(files)
}

// logLevel is that of the gateways' logs: what becomes of a request whose client leaves is traced.
func (w *world) logLevel() string {
	if w.Leave > 0 {
		return "debug"
	}
	return "info"
}

// members is the list of servers with the doors that a gateway has to them.
func (w *world) members(g *gateway) string {
	var list []string
	for _, s := range w.servers {
		phase := "up"
		if w.draining[s.name] {
			phase = "draining"
		}
		up := int64(0)
		if s.m.cold {
			up = s.m.started.UnixMilli()
		}
		list = append(list, standin.MemberIn(s.zone(), s.id(), g.servers[s.at].Addr(), phase, up))
	}
	return standin.Members(list...)
}

func (s *server) zone() string { return s.name[len("server-") : len("server-")+1] }

// serve is the farm's script, called under its lock.
func (w *world) serve(c *standin.Command) standin.Step {
	return w.servers[c.Backend].m.take(c.At, c.ID, w.rng.Float64())
}

// watch books a command, under the farm's lock.
func (w *world) watch(c *standin.Command) func() {
	s := w.servers[c.Backend]
	a := &arrival{at: c.At, far: c.Far, link: nowhere{}, server: s.name, ran: c.Did != standin.Busy, key: c.Key}
	for _, g := range w.gateways {
		if l := g.servers[s.at]; l.Has(c.Far) {
			a.gateway, a.link, a.sent = g.name, l, l.Sent(c.Far)
			break
		}
	}
	fell := !s.m.fell.IsZero()
	w.judge.arrived(c, a)
	if fell && !s.off {
		s.off = true
		w.judge.Fault(c.At, rulePushed, "%s was pushed over: %.1f times what it could do for %v", s.name, s.m.worst, standin.FallSpan)
	}
	return func() { w.judge.ended(a, time.Now()) }
}

// nowhere is the link of a command that came by none.
type nowhere struct{}

func (nowhere) Left(string) time.Time { return time.Time{} }

// ending tells whether the drill is over.
func (w *world) ending() bool { return time.Since(w.began) > w.Length }

func (w *world) server(name string) *server   { return w.byServer[name] }
func (w *world) gateway(name string) *gateway { return w.byName[name] }

// set changes a server's model.
func (s *server) set(f func(*machine)) { s.w.farm.Locked(func() { f(s.m) }) }

// down ends a server's process: what is open is reset, what comes is refused.
func (s *server) down() {
	s.set(func(*machine) { s.off = true })
	s.w.farm.Down(s.at)
}

// well has a server do as it should; one that was down comes back, cold, and discovery says since when.
func (s *server) well() {
	if !s.off {
		s.set(func(m *machine) { m.mode, m.slow = well, 1 })
		return
	}
	at := time.Now()
	s.set(func(m *machine) { m.restart(at); s.off = false })
	s.w.mu.Lock()
	s.w.restarts = append(s.w.restarts, restart{s, at})
	s.w.mu.Unlock()
	if err := s.w.farm.Up(s.at); err != nil {
		s.w.judge.Fault(time.Now(), ruleEnded, "%s could not come back: %v", s.name, err)
	}
	s.w.tell()
}

// drain has discovery say that a server drains, or that it is up.
func (w *world) drain(name string, on bool) {
	w.mu.Lock()
	w.draining[name] = on
	w.mu.Unlock()
	w.tell()
	w.judge.drain(name, time.Now(), on)
}

// tell has every discovery service tell its list anew.
func (w *world) tell() {
	for _, g := range w.gateways {
		var list string
		w.farm.Locked(func() { w.mu.Lock(); list = w.members(g); w.mu.Unlock() })
		g.discovery.Set(list)
	}
}

// names are the processes and servers of a target.
func (w *world) names(b *builder, t target) []string {
	switch t.kind {
	case "leader":
		if l := w.leader(); l != "" {
			return []string{l}
		}
		w.say("there is no leader")
		return nil
	case "counter", "registry":
		return []string{t.kind}
	}
	gateways, servers := b.resolve(t)
	return append(gateways, servers...)
}

// harm books that the script hurts a gateway from now on, until the function that it returns is called.
func (g *gateway) harm() (over func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := len(g.hurt)
	g.hurt = append(g.hurt, span{from: time.Now()})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.hurt[at].to = time.Now()
	}
}

// harmed tells whether the script hurt a gateway at some time between two.
func (g *gateway) harmed(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.hurt {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// stall stops a process for a time.
func (w *world) stall(g *gateway, d time.Duration) {
	p := g.Program()
	if p == nil || p.Over() {
		return
	}
	over := g.harm()
	p.Cmd.Process.Signal(syscall.SIGSTOP)
	w.all.Go(func() {
		time.Sleep(d)
		p.Cmd.Process.Signal(syscall.SIGCONT)
		w.say("%s wakes", g.name)
		over()
	})
}

// kill ends a process outright, and starts it again after a while unless back is 0.
func (w *world) kill(g *gateway, back time.Duration, fresh bool) {
	over := g.harm()
	g.ends(true)
	g.Kill()
	w.comesBack(g, back, fresh, over)
}

// term ends a process as a planned restart does.
func (w *world) term(g *gateway, back time.Duration, fresh bool) {
	p := g.Program()
	if p == nil || p.Over() {
		return
	}
	g.ends(true)
	p.Cmd.Process.Signal(syscall.SIGTERM)
	w.all.Go(func() {
		time.Sleep(frontOff)
		g.in.Store(false)
		if err := g.Process.Gone(patience); err != nil {
			w.judge.Fault(time.Now(), ruleEnded, "%v", err)
			return
		}
		over := g.harm()
		w.comesBack(g, max(0, back-frontOff), fresh, over)
	})
}

// lapse ends all sessions at the registry, and with them what processes keep there.
func (w *world) lapse() {
	for _, g := range w.gateways {
		w.registry.Expire(w.registry.Owner("/dewhitch/members/drill/" + g.name))
	}
}

func (w *world) comesBack(g *gateway, back time.Duration, fresh bool, over func()) {
	g.spent()
	if back == 0 {
		return
	}
	w.all.Go(func() {
		time.Sleep(back)
		if fresh {
			g.Forget()
		}
		if err := g.Start(patience); err != nil {
			w.judge.Fault(time.Now(), ruleEnded, "%v", err)
			return
		}
		g.ends(false)
		w.say("%s is back", g.name)
		over()
	})
}

// ends books whether the script wants the process to be over.
func (g *gateway) ends(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expects = on
}

func (g *gateway) expected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expects
}

// spent adds what a life that has ended used.
func (g *gateway) spent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cpu += g.Program().CPU()
}

// look has the clients' front look at each gateway, and finds processes that ended of themselves.
func (w *world) look(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, g := range w.gateways {
		all.Go(func() {
			var c *standin.Client
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for failed := 0; ctx.Err() == nil; wait(ctx, frontLook) {
				if g.Program().Over() && !g.expected() {
					w.judge.Fault(time.Now(), ruleEnded, "%s ended of itself: %s", g.name, tail(g.Program().Log()))
					return
				}
				good := false
				if c == nil {
					c, _ = standin.Dial(g.Listen, frontWait)
				}
				if c != nil {
					c.SetDeadline(time.Now().Add(frontWait))
					if c.Send([]string{"PING"}) == nil {
						v, err := c.Reply()
						good = err == nil && v.Text == "PONG"
					}
				}
				if good {
					failed = 0
					g.in.Store(!g.expected())
					continue
				}
				if c != nil {
					c.Close()
					c = nil
				}
				if failed++; failed >= 2 {
					g.in.Store(false)
				}
			}
		})
	}
}

func tail(s string) string {
	const most = 2000
	return s[max(0, len(s)-most):]
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *world) close() {
	for _, g := range w.gateways {
		if p := g.Program(); p != nil {
			p.Cmd.Process.Signal(syscall.SIGCONT)
			g.Kill()
		}
		if g.discovery != nil {
			g.discovery.Close()
		}
	}
	w.all.Wait()
	for _, g := range w.gateways { // one that came back meanwhile
		g.Kill()
	}
	if w.net != nil {
		w.net.Close()
	}
	if w.farm != nil {
		w.farm.Close()
	}
	if w.counter != nil {
		w.counter.Close()
	}
	if w.registry != nil {
		w.registry.Close()
	}
}
