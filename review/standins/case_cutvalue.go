package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["cutvalue"] = cutValue }

// cutValue: a client sends a query with a long value and a booking on one connection; the server's connection is reset in the value.
func cutValue(s *scene) (v verdict, err error) {
	w, err := newWorld(s, 3, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	defer w.close()
	for _, srv := range w.servers {
		srv.handle = func(c net.Conn, args []string) bool {
			if !strings.HasPrefix(args[2], "long") {
				time.Sleep(300 * time.Millisecond)
				_, err := fmt.Fprint(c, answer("value of "+args[2]))
				return err == nil
			}
			time.Sleep(100 * time.Millisecond)
			value := strings.Repeat("v", 256<<10)
			full := answer(value)
			if !s.trouble {
				_, err := fmt.Fprint(c, full)
				return err == nil
			}
			fmt.Fprint(c, full[:len(full)/2])
			time.Sleep(50 * time.Millisecond)
			s.rec.note("server: resets the connection in the value of %s", args[2])
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
	}
	if err := w.startGateways(false); err != nil {
		return v, err
	}
	time.Sleep(time.Second)
	for i := range 5 {
		c, err := dialClient(w.d.nodes[0].listen)
		if err != nil {
			return v, err
		}
		long, booking := fmt.Sprintf("long%012x", i), fmt.Sprintf("b00k%012x", i)
		io.WriteString(c, command("SVC.QUERY", "00000000b4d65521", long, "c=space-query,t=basic,d=4000,units=1,spread=1,first=0")+
			command("SVC.SUBMIT", "00000000b4d65521", booking, "c=booking,t=basic,d=5000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0", "BODY"))
		c.SetReadDeadline(time.Now().Add(6 * time.Second))
		_, text, err := c.reply()
		s.rec.note("client: %s: %d bytes, %v", long, len(text), err)
		if err == nil {
			var line string
			line, text, err = c.reply()
			s.rec.note("client: %s: %s %q %v", booking, line, text, err)
		}
		if err != nil {
			runs := 0
			for _, srv := range w.servers {
				for _, r := range srv.runs() {
					if r.id == booking {
						runs++
					}
				}
			}
			v.add("request %s was never answered (%v); it ran %d times", booking, err, runs)
		}
		c.Close()
	}
	return v, nil
}
