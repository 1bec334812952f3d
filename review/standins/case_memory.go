package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

func init() { cases["memory"] = memory }

// memory: clients stop in the middle of a request of 64 KiB and stay. The gateway may use 48 MB and 1,024 descriptors.
func memory(s *scene) (v verdict, err error) {
	const limitMB, clients = 48, 590
	s.d.limits = object{"memory_mb": limitMB, "sockets": 1024}
	w, err := newWorld(s, 3, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	defer w.close()
	if err := w.startGateways(false); err != nil {
		return v, err
	}
	t := w.startTraffic(4, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	peak := 0
	for range 3 {
		var open []*client
		for range clients {
			if !s.trouble {
				break
			}
			c, err := dialClient(w.d.nodes[0].listen)
			if err != nil {
				continue
			}
			open = append(open, c)
			go io.WriteString(c, "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000000\r\n$10\r\nc=booking,\r\n$65536\r\n"+
				strings.Repeat("x", 65000))
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			kb := anonymousKB(w.procs[0].cmd.Process.Pid)
			s.rec.note("gateway n0: %d kB of anonymous memory, %d clients in the middle of a request", kb, len(open))
			peak = max(peak, kb)
		}
		for _, c := range open {
			c.Close()
		}
	}
	t.end(w)
	if peak > limitMB<<10 {
		v.add("the gateway held %d kB of anonymous memory; memory_mb is %d, which is %d kB", peak, limitMB, limitMB<<10)
	}
	return v, nil
}

// anonymousKB returns the memory of a process without the pages of files, in kB.
func anonymousKB(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "RssAnon:") {
			fmt.Sscanf(strings.TrimPrefix(line, "RssAnon:"), "%d", &kb)
		}
	}
	return kb
}
