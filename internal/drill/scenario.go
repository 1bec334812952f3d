// Package drill plays scenarios on several real processes of the program, with faults between them, and judges them by
// what everybody else saw. It owns the processes, links and stand-ins of a drill; it shares no code with what it checks.
package drill

import (
	"fmt"
	"os"
	"regexp"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// The bounds of a scenario: a person's file may not take the machine that plays it.
const (
	mostSteps    = 1_000_000
	mostText     = 256 << 10
	mostMemory   = 64 << 20 // of a scenario's own values
	mostEvents   = 2_000
	mostProcs    = 60
	mostServers  = 120
	mostHauliers = 10_000
	mostLength   = 15 * time.Minute
	mostLoad     = 2_000 // reqs a second
)

// Scenario is what a file says.
type Scenario struct {
	Name        string
	Zones       []string
	Gateways    int // in each zone, as are servers
	Servers     int
	Hauliers    int
	Load        float64 // of what all servers can do
	Rate        float64 // reqs a second; 0: by Load
	Length      time.Duration
	Leave       float64 // the share of reqs whose client goes, after up to its wanted time, if it has no answer by then
	Coordinated bool
	Class       string            // mixed, safe, keyed or unsafe
	Regions     map[string]string // by zone
	Found       string            // how members find one another: seeds or registry
	Events      []Event
	Expects     []Expect
}

// Event is something that is done at a time of the drill.
type Event struct {
	At   time.Duration
	Pos  string // where the file says so
	Text string
	Do   action

	targets []string // servers that it makes ill or well
}

// action is carried out on the world.
type action func(*world)

// Expect is what a drill must come to, beside the rules.
type Expect struct {
	Pos            string
	Served, Worst  float64 // at least
	Lost           int     // at most
	Sent           int     // to the targets in a span, at most
	Targets        []string
	From, To       time.Duration
	Excused        int     // at most
	Leaves         int     // of zones by the fleet, at most; below 0: any
	Plans          int     // settled, at least
	Worked         int     // machines that had their turn, at least
	Fed            float64 // what a server that came back cold was sent in a second, of what it bears and three roots of it, at most; 0: any
	Full           float64 // seconds until such a server had its full share, at most; 0: any
	Seen           float64 // seconds until all act on a plan, at most; 0: no bound
	hasLost, hasEx bool
}

// target is one or more gateways or servers, as the file names them.
type target struct {
	text  string
	kind  string // gateways, servers, zone, leader
	zone  string // empty: all
	at    int    // from 1; 0: all
	scene *builder
}

func (t target) String() string        { return t.text }
func (t target) Type() string          { return t.kind }
func (t target) Freeze()               {}
func (t target) Truth() starlark.Bool  { return true }
func (t target) Hash() (uint32, error) { return starlark.String(t.text).Hash() }

// act is an action as a value of the file.
type act struct {
	text    string
	do      action
	targets []string // servers, of an action on them
}

func (a act) String() string        { return a.text }
func (a act) Type() string          { return "action" }
func (a act) Freeze()               {}
func (a act) Truth() starlark.Bool  { return true }
func (a act) Hash() (uint32, error) { return starlark.String(a.text).Hash() }

// Size replaces what a scenario says of its fleet; zero: nothing.
type Size struct{ Gateways int }

// Load reads a scenario from a file, or from its text where that is not nil.
func Load(name string, text []byte, size Size) (*Scenario, error) {
	if text == nil {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if info.Size() > mostText {
			return nil, fmt.Errorf("%s: %d bytes, %d at most", name, info.Size(), mostText)
		}
		if text, err = os.ReadFile(name); err != nil {
			return nil, err
		}
	}
	text = loadWord.ReplaceAll(text, []byte("Load$1"))
	b := &builder{size: size, s: Scenario{Name: strings.TrimSuffix(name, ".star"), Length: 60 * time.Second, Class: "mixed", Found: "seeds"}}
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return nil, err
	}
	if err := frugal(file); err != nil {
		return nil, err
	}
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(mostSteps)
	defer watchMemory(thread)()
	if _, err := starlark.ExecFileOptions(options, thread, name, text, b.words()); err != nil {
		if e, ok := err.(*starlark.EvalError); ok {
			for i := len(e.CallStack) - 1; i >= 0; i-- { // the file's line, not that of a word of ours
				if p := e.CallStack[i].Pos; p.Line > 0 {
					return nil, fmt.Errorf("%s: %s", p, e.Msg)
				}
			}
		}
		return nil, err
	}
	return b.done(name)
}

// watchMemory ends a scenario that takes too much memory: steps alone do not bound it, as a list that is added to itself
// doubles in one. It returns what ends the watch.
func watchMemory(thread *starlark.Thread) (stop func()) {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	before, over := heap[0].Value.Uint64(), make(chan struct{})
	go func() {
		t := time.NewTicker(time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-over:
				return
			case <-t.C:
			}
			if metrics.Read(heap); heap[0].Value.Uint64() > before+mostMemory {
				thread.Cancel(fmt.Sprintf("more than %d MB of memory", mostMemory>>20))
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(over) })
}

// loadWord is the fleet's load as a file has it: Starlark keeps the word for itself, and takes one of the same length.
var loadWord = regexp.MustCompile(`\bload(\s*=[^=])`)

// frugal refuses the one operator by which few steps make much memory: times, with a string or list on a side.
func frugal(f *syntax.File) (err error) {
	syntax.Walk(f, func(n syntax.Node) bool {
		b, ok := n.(*syntax.BinaryExpr)
		if !ok || b.Op != syntax.STAR {
			return true
		}
		for _, side := range []syntax.Expr{b.X, b.Y} {
			switch s := side.(type) {
			case *syntax.ListExpr, *syntax.TupleExpr:
				err = fmt.Errorf("%s: a list times a number is refused; expected a loop", b.OpPos)
			case *syntax.Literal:
				if s.Token == syntax.STRING || s.Token == syntax.BYTES {
					err = fmt.Errorf("%s: a text times a number is refused; expected a loop", b.OpPos)
				}
			}
		}
		return true
	})
	return err
}

// builder is a scenario as it is read.
type builder struct {
	s     Scenario
	size  Size
	fleet bool
}

func (b *builder) words() starlark.StringDict {
	w := starlark.StringDict{}
	add := func(name string, f func(*call) (starlark.Value, error)) {
		w[name] = starlark.NewBuiltin(name, func(t *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			return f(&call{t: t, fn: fn, args: args, named: named})
		})
	}
	add("fleet", b.setFleet)
	add("at", b.addEvent)
	add("expect", b.addExpect)
	for _, kind := range []string{"gateways", "servers", "zone", "gateway", "server"} {
		add(kind, func(c *call) (starlark.Value, error) { return b.target(c, kind) })
	}
	for _, kind := range []string{"leader", "counter", "registry"} {
		add(kind, func(c *call) (starlark.Value, error) {
			return target{text: kind + "()", kind: kind, scene: b}, c.unpack()
		})
	}
	b.actions(add)
	return w
}

// call is one call of a word.
type call struct {
	t     *starlark.Thread
	fn    *starlark.Builtin
	args  starlark.Tuple
	named []starlark.Tuple
}

func (c *call) unpack(pairs ...any) error {
	return starlark.UnpackArgs(c.fn.Name(), c.args, c.named, pairs...)
}

func (c *call) pos() string { return c.t.CallFrame(1).Pos.String() }

// text is the call as the file has it, near enough.
func (c *call) text() string {
	var words []string
	for _, a := range c.args {
		words = append(words, a.String())
	}
	for _, p := range c.named {
		words = append(words, string(p[0].(starlark.String))+"="+p[1].String())
	}
	return c.fn.Name() + "(" + strings.Join(words, ", ") + ")"
}

// number reads an int or float.
type number float64

// Unpack implements starlark.Unpacker.
func (n *number) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("got %s, expected a number", v.Type())
	}
	*n = number(f)
	return nil
}

func within(what string, v, least, most float64) error {
	if !(v >= least && v <= most) {
		return fmt.Errorf("%s = %v; expected %v to %v", what, v, least, most)
	}
	return nil
}

func seconds(n number) time.Duration { return time.Duration(float64(n) * 1e9) }

func (b *builder) setFleet(c *call) (starlark.Value, error) {
	s := &b.s
	if b.fleet {
		return nil, fmt.Errorf("a second fleet; expected one")
	}
	b.fleet = true
	zones := starlark.NewList([]starlark.Value{starlark.String("a"), starlark.String("b"), starlark.String("c")})
	gateways, servers, hauliers, load, length, rate, leave := 2, 4, 40, number(0.6), number(60), number(0), number(0)
	regions := starlark.NewDict(0)
	s.Coordinated = true
	if err := c.unpack("zones?", &zones, "gateways?", &gateways, "servers?", &servers, "hauliers?", &hauliers, "Load?", &load,
		"length?", &length, "coordinated?", &s.Coordinated, "rate?", &rate, "cls?", &s.Class,
		"found?", &s.Found, "regions?", &regions, "leave?", &leave); err != nil {
		return nil, err
	}
	if b.size.Gateways > 0 {
		gateways = b.size.Gateways
	}
	for i := range zones.Len() {
		z, ok := starlark.AsString(zones.Index(i))
		if !ok || len(z) != 1 || z < "a" || z > "z" || slices.Contains(s.Zones, z) {
			return nil, fmt.Errorf("zones: %v; expected letters from a to z, each once", zones.Index(i))
		}
		s.Zones = append(s.Zones, z)
	}
	if len(s.Zones) == 0 {
		return nil, fmt.Errorf("zones: none; expected one at least")
	}
	s.Gateways, s.Servers, s.Hauliers, s.Load, s.Rate, s.Length = gateways, servers, hauliers, float64(load), float64(rate), seconds(length)
	s.Leave = float64(leave)
	for _, v := range []struct {
		what        string
		v           float64
		least, most float64
	}{{"gateways", float64(gateways), 1, float64(mostProcs / len(s.Zones))},
		{"servers", float64(servers), 1, float64(mostServers / len(s.Zones))},
		{"hauliers", float64(hauliers), 1, mostHauliers}, {"load", s.Load, 0.01, 1.5}, {"rate", s.Rate, 0, mostLoad}, {"leave", s.Leave, 0, 1},
		{"length", s.Length.Seconds(), 1, mostLength.Seconds()}} {
		if err := within(v.what, v.v, v.least, v.most); err != nil {
			return nil, err
		}
	}
	if !slices.Contains([]string{"mixed", "safe", "keyed", "unsafe"}, s.Class) {
		return nil, fmt.Errorf("cls = %q; expected mixed, safe, keyed or unsafe", s.Class)
	}
	s.Regions = map[string]string{}
	for _, pair := range regions.Items() {
		region, ok := starlark.AsString(pair[0])
		list, isList := pair[1].(*starlark.List)
		if !ok || !isList || region == "" {
			return nil, fmt.Errorf("regions: %v; expected {\"north\": [\"a\", \"b\"]}", regions)
		}
		for i := range list.Len() {
			z, _ := starlark.AsString(list.Index(i))
			if !slices.Contains(s.Zones, z) || s.Regions[z] != "" {
				return nil, fmt.Errorf("regions: %v; expected zones of %q, each once", list.Index(i), s.Zones)
			}
			s.Regions[z] = region
		}
	}
	if !slices.Contains([]string{"seeds", "registry"}, s.Found) {
		return nil, fmt.Errorf("found = %q; expected seeds or registry", s.Found)
	}
	return starlark.None, nil
}

func (b *builder) addEvent(c *call) (starlark.Value, error) {
	var when number
	var what starlark.Value
	if err := c.unpack("when", &when, "what", &what); err != nil {
		return nil, err
	}
	a, ok := what.(act)
	if !ok {
		return nil, fmt.Errorf("at: got %s, expected an action such as silent(servers(\"b\"))", what.Type())
	}
	if err := within("at", float64(when), 0, mostLength.Seconds()); err != nil {
		return nil, err
	}
	if len(b.s.Events) >= mostEvents {
		return nil, fmt.Errorf("more than %d events", mostEvents)
	}
	b.s.Events = append(b.s.Events, Event{seconds(when), c.pos(), a.text, a.do, a.targets})
	return starlark.None, nil
}

func (b *builder) addExpect(c *call) (starlark.Value, error) {
	e := Expect{Pos: c.pos()}
	seen, fed, full := number(0), number(0), number(0)
	e.Leaves = -1
	served, worst, from, to := number(0), number(0), number(0), number(0)
	lost, sent, excused := -1, -1, -1
	var to0 starlark.Value
	if err := c.unpack("served?", &served, "lost?", &lost, "worst_5s?", &worst, "sent?", &sent, "target?", &to0, "start?", &from,
		"end?", &to, "excused?", &excused, "leaves?", &e.Leaves, "plans?", &e.Plans, "seen?", &seen,
		"worked?", &e.Worked, "fed?", &fed, "full?", &full); err != nil {
		return nil, err
	}
	e.Served, e.Worst, e.Lost, e.hasLost, e.Sent = float64(served), float64(worst), lost, lost >= 0, sent
	e.Seen, e.Fed, e.Full = float64(seen), float64(fed), float64(full)
	e.Excused, e.hasEx, e.From, e.To = excused, excused >= 0, seconds(from), seconds(to)
	for what, v := range map[string]float64{"served": e.Served, "worst_5s": e.Worst} {
		if err := within(what, v, 0, 1); err != nil {
			return nil, err
		}
	}
	if sent >= 0 {
		t, ok := to0.(target)
		if !ok || e.To <= e.From {
			return nil, fmt.Errorf("sent needs target, start and end, as in expect(sent = 20, target = servers(\"b\"), start = 10, end = 20)")
		}
		if _, e.Targets = b.resolve(t); len(e.Targets) == 0 {
			return nil, fmt.Errorf("%s: expected servers", t)
		}
	}
	b.s.Expects = append(b.s.Expects, e)
	return starlark.None, nil
}

// target makes servers("b"), zone("a"), gateway("a", 1) and their kind.
func (b *builder) target(c *call, kind string) (starlark.Value, error) {
	zone, at := "", 0
	var err error
	if one := kind == "gateway" || kind == "server"; one {
		err = c.unpack("zone", &zone, "number", &at)
	} else {
		err = c.unpack("zone?", &zone)
	}
	if err != nil {
		return nil, err
	}
	if !b.fleet {
		return nil, fmt.Errorf("%s before fleet(...); expected the fleet first", kind)
	}
	if (zone != "" || kind == "zone") && !slices.Contains(b.s.Zones, zone) {
		return nil, fmt.Errorf("zone %q; expected one of %q", zone, b.s.Zones)
	}
	switch kind {
	case "gateway":
		err = within("gateway", float64(at), 1, float64(b.s.Gateways))
	case "server":
		err = within("server", float64(at), 1, float64(b.s.Servers))
	}
	return target{text: c.text(), kind: kind, zone: zone, at: at, scene: b}, err
}

// resolve names the gateways and servers of a target.
func (b *builder) resolve(t target) (gateways, servers []string) {
	for _, z := range b.s.Zones {
		if t.zone != "" && t.zone != z {
			continue
		}
		if t.kind == "gateways" || t.kind == "gateway" || t.kind == "zone" {
			for i := 1; i <= b.s.Gateways; i++ {
				if t.at == 0 || t.at == i {
					gateways = append(gateways, gatewayName(z, i))
				}
			}
		}
		if t.kind == "servers" || t.kind == "server" || t.kind == "zone" {
			for i := 1; i <= b.s.Servers; i++ {
				if t.at == 0 || t.at == i {
					servers = append(servers, serverName(z, i))
				}
			}
		}
	}
	return gateways, servers
}

func gatewayName(zone string, i int) string { return fmt.Sprintf("gateway-%s%d", zone, i) }
func serverName(zone string, i int) string  { return fmt.Sprintf("server-%s%d", zone, i) }

func (b *builder) done(name string) (*Scenario, error) {
	if !b.fleet {
		return nil, fmt.Errorf("%s: no fleet(...)", name)
	}
	for _, e := range b.s.Events {
		if e.At >= b.s.Length {
			return nil, fmt.Errorf("%s: at %v, and the drill is over after %v", e.Pos, e.At, b.s.Length)
		}
	}
	slices.SortStableFunc(b.s.Events, func(x, y Event) int { return int(x.At - y.At) })
	return &b.s, nil
}
