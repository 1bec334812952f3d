package drill

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dewhitch/internal/standin"
)

// Turn is a machine's being worked on.
type Turn struct {
	Server string  `json:"server"`
	Free   float64 `json:"free"` // when who asked was told that it is, seconds since the load began
	Back   float64 `json:"back"` // when it was given back
}

// WorkResult is what came of work on machines.
type WorkResult struct {
	Asked   int     `json:"asked"`
	Turns   []Turn  `json:"turns"`
	MostOut int     `json:"most_out"`
	Over    float64 `json:"over_after_s"` // since the first was asked for until the last was given back
}

const (
	workLook = 150 * time.Millisecond // between two looks at what is free
	watched  = 400 * time.Millisecond // that a free machine stands before it is restarted, and after: what comes there is seen
)

// workBook is what the operators' listener tells of work.
type workBook struct {
	Requests []struct {
		ID       uint64                         `json:"id"`
		Key      string                         `json:"key"`
		State    string                         `json:"state"`
		Machines []struct{ Name, State string } `json:"machines"`
	} `json:"requests"`
}

// id is the server's as discovery lists it.
func (s *server) id() string { return fmt.Sprintf("s-%08x", s.at+1) }

// work asks for machines and works on each as it becomes free: a watched while, a restart, and given back. Without the fleet view a
// person does it by hand: excludes the machine at each gateway in turn, waits a while, and includes it again.
func (w *world) work(at []string, servers []string, kind string, spell time.Duration) {
	if len(at) == 0 {
		return
	}
	w.mu.Lock()
	w.asked += len(servers)
	w.mu.Unlock()
	if !w.coordinated() {
		w.all.Go(func() { w.byHand(servers, spell) })
		return
	}
	g := w.gateway(at[0])
	key := at[0] + " " + strings.Join(servers, " ")
	form := url.Values{"by": {"drill"}, "why": {key}, "key": {key}, "kind": {kind}, "for_ms": {"600000"}}
	names := map[string]string{} // by which the fleet knows them
	for _, name := range servers {
		known := name
		if s := w.server(name); s != nil {
			known = s.id()
		}
		names[known] = name
		form.Add("machine", known)
	}
	w.all.Go(func() {
		for w.talk(g, "work-request", form) != nil && !w.ending() {
			time.Sleep(workLook)
		}
		busy := map[string]bool{}
		done := 0
		for !w.ending() && done < len(names) {
			time.Sleep(workLook)
			id, free, over := w.free(key)
			done = over
			for _, name := range free {
				if busy[name] || names[name] == "" {
					continue
				}
				busy[name] = true
				w.all.Go(func() { w.turn(names[name], name, id, spell) })
			}
		}
	})
}

// turn is one machine's: a server stands watched, is restarted, stands again, and is given back; a gateway is restarted as planned.
func (w *world) turn(machine, known string, id uint64, spell time.Duration) {
	free := time.Now()
	w.say("%s is free", machine)
	if s := w.server(machine); s != nil {
		w.restart(s, free, spell)
	} else if g := w.gateway(machine); !w.replace(g, spell) {
		return
	}
	for !w.ending() {
		for _, g := range w.gateways { // whichever answers
			if w.talk(g, "work-done", url.Values{"by": {"drill"}, "why": {"done"}, "id": {strconv.FormatUint(id, 10)}, "machine": {known}}) == nil {
				w.gaveBack(machine, free)
				w.say("%s is given back", machine)
				return
			}
		}
		time.Sleep(workLook)
	}
}

// gaveBack books a turn that is over.
func (w *world) gaveBack(machine string, free time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turns = append(w.turns, Turn{machine, free.Sub(w.began).Seconds(), time.Since(w.began).Seconds()})
}

// restart restarts a server that is free; whatever comes there until it is given back is a breach.
func (w *world) restart(s *server, free time.Time, spell time.Duration) {
	w.judge.worked(s.name, free, true)
	time.Sleep(watched)
	s.down()
	time.Sleep(spell - 2*watched)
	s.well()
	time.Sleep(watched)
	w.judge.worked(s.name, time.Now(), false)
}

// replace restarts a gateway; false: the script or the drill's end was there first.
func (w *world) replace(g *gateway, spell time.Duration) bool {
	p := g.Program()
	if p == nil || p.Over() || w.ending() {
		return false
	}
	g.ends(true)
	g.in.Store(false)
	p.Cmd.Process.Signal(syscall.SIGTERM)
	if err := g.Process.Gone(patience); err != nil {
		w.judge.Fault(time.Now(), ruleEnded, "%v", err)
		return false
	}
	g.spent()
	time.Sleep(spell)
	if err := g.Start(patience); err != nil {
		w.judge.Fault(time.Now(), ruleEnded, "%v", err)
		return false
	}
	g.ends(false)
	return true
}

// free tells which machines of a request are free, by the newest book that any gateway shows, and how many have ended.
func (w *world) free(key string) (id uint64, free []string, over int) {
	c := http.Client{Timeout: 500 * time.Millisecond}
	for _, g := range w.gateways {
		answer, err := c.Get("http://" + g.show + "/fleet/work")
		if err != nil {
			continue
		}
		var b workBook
		err = json.NewDecoder(answer.Body).Decode(&b)
		answer.Body.Close()
		if err != nil {
			continue
		}
		for _, r := range b.Requests {
			if r.Key != key {
				continue
			}
			n := 0
			for _, m := range r.Machines {
				switch m.State {
				case "free":
					free = append(free, m.Name)
				case "done", "cancelled":
					n++
				}
			}
			id, over = r.ID, max(over, n)
		}
	}
	return id, free, over
}

// talk makes an operator's call at a gateway.
func (w *world) talk(g *gateway, verb string, form url.Values) error {
	text, ok, err := g.post(verb, form, 10*time.Second)
	if err != nil {
		return err
	}
	if !ok {
		w.say("%s: %s: %s", g.name, verb, text)
		return errors.New(text)
	}
	return nil
}

// post makes an operator's call at a gateway: what it answers, and whether it did as it was told.
func (g *gateway) post(verb string, form url.Values, patience time.Duration) (text string, ok bool, err error) {
	c := http.Client{Timeout: patience}
	answer, err := c.PostForm("http://"+g.show+"/fleet/"+verb, form)
	if err != nil {
		return "", false, err
	}
	defer answer.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(answer.Body, 4096))
	return strings.TrimSpace(string(b)), answer.StatusCode == http.StatusOK, nil
}

const (
	handCall = 300 * time.Millisecond // that a person takes for a call at one gateway
	handWait = 2 * time.Second        // that one waits for what is open
)

// byHand is a person who takes one machine after the other out: at each gateway in turn, and back in the same way.
func (w *world) byHand(servers []string, spell time.Duration) {
	for _, name := range servers {
		s := w.server(name)
		if s == nil { // gateways: one after the other, a while apart
			free := time.Now()
			if !w.ending() && w.replace(w.gateway(name), spell) {
				w.gaveBack(name, free)
			}
			time.Sleep(handWait)
			continue
		}
		say := func(verb string) {
			for _, g := range w.gateways {
				time.Sleep(handCall)
				if err := admin(g.admin, verb+" "+s.id()); err != nil {
					w.say("%s: %s %s: %v", g.name, verb, name, err)
				}
			}
		}
		say("exclude")
		time.Sleep(handWait)
		if w.ending() {
			return
		}
		free := time.Now()
		w.restart(s, free, spell)
		say("include")
		w.gaveBack(name, free)
		for end := time.Now().Add(standin.ColdSpan); time.Now().Before(end) && !w.ending(); {
			time.Sleep(workLook)
		}
	}
}

// admin is one line to a gateway's operators' address, and whether it says yes.
func admin(addr, line string) error {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, line)
	b := make([]byte, 512)
	n, err := c.Read(b)
	if err == nil && !strings.HasPrefix(string(b[:n]), "YES") {
		err = fmt.Errorf("%s", b[:n])
	}
	return err
}

// worked adds up what came of work; nil: none was asked for.
func (w *world) worked() *WorkResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked == 0 {
		return nil
	}
	r := &WorkResult{Asked: w.asked, Turns: slices.Clone(w.turns)}
	first, last := -1.0, 0.0
	for _, t := range r.Turns {
		if first < 0 || t.Free < first {
			first = t.Free
		}
		last = max(last, t.Back)
		out := 0
		for _, o := range r.Turns {
			if o.Free <= t.Free && o.Back > t.Free {
				out++
			}
		}
		r.MostOut = max(r.MostOut, out)
	}
	r.Over = last - max(0, first)
	return r
}
