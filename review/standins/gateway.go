package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type object = map[string]any

// deployment is what the gateways of a case have in common.
type deployment struct {
	rec       *record
	root      string // the repository's root
	dir       string // temporary folder of the case
	run       string // the run command of the deploy file
	instances int
	classes   []object
	plans     []object
	caps      object // overrides of Caps
	limits    object
	counter   string
	nodes     []*node
	mu        sync.Mutex
	processes []*process // all that were started, ended or not; guarded by mu
}

// node is one gateway: its addresses, its files and its processes.
type node struct {
	d         *deployment
	number    int
	name      string
	listen    string
	discovery string // in the configuration file
	envDisc   string // NODE_DISCOVERY, as at the start
	known     string
	listener  *os.File // the clients' listening socket that the platform holds; nil if the gateway listens itself
	tmp       string
	starts    int
}

// process is one running program of a node.
type process struct {
	n     *node
	admin string
	cmd   *exec.Cmd
	done  chan struct{}
	err   error
	log   string
}

func newDeployment(rec *record, root string) (*deployment, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, root: root, dir: dir, run: string(m[1]), instances: 3}, nil
}

// ownHosts counts the addresses that freeAddr has returned.
var ownHosts atomic.Int32

// freeAddr returns a loopback address that nothing listens at. Its host differs by process and by call, so that no outgoing connection
// takes its port before the gateway listens there.
func freeAddr() (string, error) {
	pid, n := os.Getpid(), ownHosts.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%64, pid/64%256, 1+n%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newNode adds gateway number i. With inherit, the platform holds the clients' listening socket, as where processes are replaced.
func (d *deployment) newNode(i int, discovery string, inherit bool) (*node, error) {
	n := &node{d: d, number: i, name: fmt.Sprintf("n%d", i), discovery: discovery, envDisc: discovery}
	n.tmp = filepath.Join(d.dir, n.name)
	if err := os.MkdirAll(n.tmp, 0o700); err != nil {
		return nil, err
	}
	var err error
	if inherit {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n.listen = l.Addr().String()
		if n.listener, err = l.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
		l.Close() // the duplicate keeps the socket listening
	} else if n.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

func (n *node) configPath() string { return filepath.Join(n.d.dir, n.name+".json") }

// config returns the node's configuration in the form of the deployment page. Times in the settings are in nanoseconds.
func (n *node) config() object {
	d := n.d
	caps := object{"ConnIdle": 15e9, "ConnectTimeout": 250e6, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "MaxOpen": 20000,
		"MaxRetryAfter": 500e6, "MaxStreams": 100, "MayCancel": true, "ParallelTries": false, "PeerMessages": false, "Probes": false,
		"RetryAfter": true, "TryLimit": 6}
	for k, v := range d.caps {
		caps[k] = v
	}
	limits := object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	for k, v := range d.limits {
		limits[k] = v
	}
	c := object{
		"name": n.name, "listen": n.listen, "discovery": n.discovery, "counter": d.counter,
		"seed":   fmt.Sprintf("8c1f30d27a5be9%02x", n.number*16+n.starts%16),
		"limits": limits,
		"settings": object{
			"Areas": []string{"hall-a", "hall-b", "hall-c"}, "Az": n.number % 3, "Kinds": []string{"std-3c", "eco-4c"},
			"Callers": object{"MarksRetry": false}, "Caps": caps, "Contracts": d.plans,
			"Family":         "gate",
			"FamilyInfo":     object{"CountFee": 0.005, "CountLimit": 30e6, "Counter": true, "PeerInPerS": 0.0, "TruedUp": false, "UnitsTop": 1, "UsePeriod": 0},
			"Feedback":       object{"Fields": []string{"queue", "inflight", "qps"}, "Source": "answers"},
			"Goal":           object{"Whole": 0.65, "WorstClass": 0.0, "WorstTenant": 0.15, "WorstWindow": 0.2},
			"MembershipMode": "pushed", "MyNumber": n.number, "NInstances": d.instances, "RequestClasses": d.classes,
			"Rules": object{"AnswerSlack": 16e6, "AskWithin": 10e9, "Cold": 13e9, "Fall": 3e9, "FallMultiple": 3.0, "StartCapacity": 0.22,
				"StopSendingWithin": 500e6},
			"Tariffs": object{"Connection": 0.0, "CrossZone": 0.0065, "Handshake": 0.0, "LateFail": 0.099, "MembershipMode": 0.0,
				"Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0, "Waste": 0.08},
			"Tick": 4000000, "Tier": 0, "Tiers": []string{"booking-nodes"}, "Weights": "none",
		},
	}
	if n.known != "" {
		c["known"] = json.RawMessage(n.known)
	}
	return c
}

// writeConfig replaces the configuration file whole.
func (n *node) writeConfig(c object) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	part := n.configPath() + ".part"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return err
	}
	return os.Rename(part, n.configPath())
}

// start starts a process of the node by the run command of the deploy file, with an admin address of its own.
func (n *node) start() (*process, error) {
	n.starts++
	if err := n.writeConfig(n.config()); err != nil {
		return nil, err
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	p := &process{n: n, admin: admin, done: make(chan struct{}), log: filepath.Join(n.d.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts))}
	p.cmd = exec.Command("/bin/sh", "-c", n.d.run)
	p.cmd.Dir = n.d.root
	p.cmd.Env = append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+n.listen, "NODE_DISCOVERY="+n.envDisc, "NODE_ADMIN="+admin,
		"NODE_CONFIG="+n.configPath(), "TMPDIR="+n.tmp)
	if n.listener != nil {
		p.cmd.Env = append(p.cmd.Env, "NODE_FD=5")
		p.cmd.ExtraFiles = []*os.File{nil, nil, n.listener} // descriptors 3, 4 and 5
	}
	logFile, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	logFile.Close()
	n.d.mu.Lock()
	n.d.processes = append(n.d.processes, p)
	n.d.mu.Unlock()
	n.d.rec.note("platform: gateway %s started, process %d of it", n.name, n.starts)
	go func() {
		p.err = p.cmd.Wait()
		n.d.rec.note("platform: a process of gateway %s ended: %v", n.name, p.err)
		close(p.done)
	}()
	return p, nil
}

// awaitUp waits until the process listens at its admin address.
func (p *process) awaitUp(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !p.ended(); time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", p.admin, time.Second); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("gateway %s does not listen at its admin address", p.n.name)
}

// awaitYes asks readyz every 100 ms until the process says yes.
func (p *process) awaitYes(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if line, err := adminCall(p.admin, "readyz"); err == nil && len(line) >= 3 && line[:3] == "YES" {
			p.n.d.rec.note("platform: gateway %s says %s", p.n.name, line)
			return nil
		}
		if p.ended() {
			break
		}
	}
	text, _ := os.ReadFile(p.log)
	return fmt.Errorf("gateway %s is not ready: %s", p.n.name, text)
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) {
	p.n.d.rec.note("platform: %s to gateway %s", strconv.Quote(s.String()), p.n.name)
	p.cmd.Process.Signal(s)
}

// terminate sends SIGTERM.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.done
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.kill()
	}
	for _, n := range d.nodes {
		if n.listener != nil {
			n.listener.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
