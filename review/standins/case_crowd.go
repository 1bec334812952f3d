package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	badClients     = 300             // hundreds
	crowdSockets   = 256             // descriptors of a gateway
	usualPerSecond = 12              // so few that usual clients hold less than a third of the descriptors
	usualWait      = 4 * time.Second // d of the usual requests: all of the class's deadline
	answerLimit    = usualWait + 500*time.Millisecond + 50*time.Millisecond
)

// crowd: three hundred clients ask for a class that does not exist, and ask the same again as soon as they are turned away.
func crowd(s *scene) (v verdict, err error) {
	s.d.limits = object{"sockets": crowdSockets}
	w, err := newWorld(s, 4, 100*time.Millisecond)
	if err != nil {
		return v, err
	}
	defer w.close()
	if err := w.startGateways(false); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	var bad sync.WaitGroup
	var sent, turnedAway sync.Map
	if s.trouble {
		s.rec.note("%d bad clients come to gateway n0", badClients)
		for i := range badClients {
			bad.Go(func() {
				n, m := badClient(w.d.nodes[0].listen, stop)
				sent.Store(i, n)
				turnedAway.Store(i, m)
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	var fronts []*front
	for g := range w.d.nodes {
		fronts = append(fronts, w.startFront(g, usualPerSecond, usualWait))
	}
	time.Sleep(20 * time.Second)
	lost, late, asked := 0, 0, 0
	for g, f := range fronts {
		asks := f.end()
		if f.most > crowdSockets/3 {
			return v, errors.New("usual clients held more than a third of the descriptors")
		}
		for _, a := range asks {
			asked++
			switch {
			case a.answer == "":
				lost++
				if lost+late <= 5 {
					v.add("request %s at gateway n%d has no answer %.2f s after its last byte; its time was %.1f s", a.id, g, a.took.Seconds(), a.deadline.Seconds())
				}
			case a.took > answerLimit: // between the rule's limit and the front's patience
				late++
				if lost+late <= 5 {
					v.add("request %s at gateway n%d was answered %.2f s after its last byte; its time was %.1f s", a.id, g, a.took.Seconds(), a.deadline.Seconds())
				}
			}
		}
	}
	close(stop)
	bad.Wait()
	total := func(m *sync.Map) (n int) {
		m.Range(func(_, v any) bool { n += v.(int); return true })
		return n
	}
	s.rec.note("bad clients: sent %d commands, read %d errors", total(&sent), total(&turnedAway))
	s.rec.note("usual clients: asked %d, without an answer half a second after their time: %d", asked, late+lost)
	if lost+late > 0 {
		v.add("of %d requests of usual clients, %d had no answer half a second after their time", asked, late+lost)
	}
	return v, nil
}

// badClient asks for a class that does not exist, and the same again as soon as it is turned away. It reads whatever is sent to it, and
// connects again when its connection is closed.
func badClient(addr string, stop chan struct{}) (sent, turnedAway int) {
	text := command("SVC.QUERY", "00000000b4d65521", "0000000000000001", "c=nonsense,t=basic,d=4000,units=1,spread=1,first=0")
	buf := make([]byte, 4096)
	for {
		select {
		case <-stop:
			return sent, turnedAway
		default:
		}
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for err == nil {
			if _, err = io.WriteString(c, text); err != nil {
				break
			}
			sent++
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err = c.Read(buf); err == nil {
				turnedAway++
			}
			select {
			case <-stop:
				err = io.EOF
			default:
			}
		}
		c.Close()
	}
}
