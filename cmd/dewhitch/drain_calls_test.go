package main_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestDrainedGatewayIsNotRegistered guards against forwarders that send commands to a drained planner: it must be removed from
// the registry during the drain, and registered again after it.
func TestDrainedGatewayIsNotRegistered(t *testing.T) {
	t.Parallel()
	registry := newZookeeper(t)
	env := newEnvironment(t)
	env.registryAddr = registry.Addr()
	p := env.start("serve")
	const node = "/dewhitch/planners/gateway-0"
	registered := func(expected bool) func() bool { return func() bool { return (registry.Owner(node) != 0) == expected } }
	if !eventually(registered(true)) {
		t.Fatalf("the planner was not registered after its start\n%s", p.log())
	}
	evacuate(t, env)
	if !eventually(registered(false)) {
		t.Error("the planner is still registered while drained, expected its removal from the registry")
	}
	if answer := adminCall(t, env.adminAddr, "activate"); answer != "YES" {
		t.Fatalf("activate is answered %q, expected YES", answer)
	}
	if !eventually(registered(true)) {
		t.Errorf("the planner was not registered again after the drain\n%s", p.log())
	}
}

// TestDrainOfAProcessThatStandsStill guards against a request that is sent to a server too late in a drain. The process is
// stopped when the time for taking requests ends, and a client writes a request meanwhile, which must be refused or left unread.
func TestDrainOfAProcessThatStandsStill(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	p := env.start("serve")
	c := env.dial()
	c.Write(queryWithLongDeadline("q1"))
	server := env.nextBackendCommand()
	drainedAt := evacuate(t, env)
	waitUntil(drainedAt.Add(time.Second))
	p.cmd.Process.Signal(syscall.SIGSTOP)
	waitUntil(drainedAt.Add(recentRequestAge + 100*time.Millisecond))
	c.Write(queryWithLongDeadline("q2"))
	p.cmd.Process.Signal(syscall.SIGCONT)
	waitUntil(drainedAt.Add(recentRequestAge + 500*time.Millisecond))
	server.serve("one")
	c.SetReadDeadline(drainedAt.Add(drainTimeLimit))
	got, err := io.ReadAll(c.r)
	if text := string(got); err != nil || text != "$3\r\none\r\n" && text != "$3\r\none\r\n-BUSY\r\n" {
		t.Errorf("got %q, %v; expected the first value, and at most a refusal after it", got, err)
	}
	if got := adminCall(t, env.adminAddr, "telemetry"); !strings.Contains(got, `"dispatches":1,"concurrent":0`) {
		t.Errorf("telemetry: got %s, expected one dispatch and none in flight", got)
	}
}

// TestDrainWithConcurrentCalls guards against drains that other calls and signals cancel or delay: a second drain, a reload, an
// invalid configuration, an earlier drain that has ended, and SIGTERM. Each time an idle connection must end within the time
// limit, and a connection with a request in flight must get its answer and then end.
func TestDrainWithConcurrentCalls(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]func(t *testing.T, env *environment, p *process) (drainedAt time.Time){
		"twice": func(t *testing.T, env *environment, _ *process) time.Time {
			drainedAt := evacuate(t, env)
			evacuate(t, env)
			return drainedAt
		},
		"during a reload": func(t *testing.T, env *environment, p *process) time.Time {
			p.cmd.Process.Signal(syscall.SIGHUP)
			drainedAt := evacuate(t, env)
			p.cmd.Process.Signal(syscall.SIGHUP)
			return drainedAt
		},
		"over a broken configuration": func(t *testing.T, env *environment, p *process) time.Time {
			os.WriteFile(p.configPath, []byte(`{"name"`), 0o600)
			p.cmd.Process.Signal(syscall.SIGHUP)
			return evacuate(t, env)
		},
		"after its end": func(t *testing.T, env *environment, _ *process) time.Time {
			evacuate(t, env)
			if answer := adminCall(t, env.adminAddr, "activate"); answer != "YES" {
				t.Errorf("activate is answered %q, expected YES", answer)
			}
			return evacuate(t, env)
		},
		"at SIGTERM": func(t *testing.T, env *environment, p *process) time.Time {
			p.cmd.Process.Signal(syscall.SIGTERM)
			return evacuate(t, env)
		},
		"before SIGTERM": func(t *testing.T, env *environment, p *process) time.Time {
			drainedAt := evacuate(t, env)
			p.cmd.Process.Signal(syscall.SIGTERM)
			return drainedAt
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			p := env.start("serve")
			waiting, idle := env.dial(), env.dial()
			waiting.Write(queryWithLongDeadline("q1"))
			server := env.nextBackendCommand()
			idle.Write([]byte("*1\r\n$4\r\nPING\r\n"))
			if err := expect(idle.r, []byte("+PONG\r\n")); err != nil {
				t.Fatal(err)
			}
			drainedAt := scenario(t, env, p)
			idle.expectClosedBy(t, drainedAt.Add(drainTimeLimit))
			server.serve("one")
			if err := expect(waiting.r, []byte("$3\r\none\r\n")); err != nil {
				t.Errorf("the request in flight was not served: %v", err)
			}
			waiting.expectClosedBy(t, drainedAt.Add(drainTimeLimit))
		})
	}
}

// TestBadInputDuringADrain guards against bad input that gets other answers during a drain, or late ones. At the operators'
// address an answer is due within a second, although other callers occupy all of its connections. A client that sends bad input
// gets its answer, and the end of its connection, within 3 s.
func TestBadInputDuringADrain(t *testing.T) {
	t.Parallel()
	const adminDeadline, clientDeadline = time.Second, 3 * time.Second
	env := newEnvironment(t)
	env.start("serve")
	evacuate(t, env)
	for range 40 { // more connections than the operators' address serves at once
		conn, err := net.Dial("tcp", env.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, "activ")
	}
	for call, want := range map[string]string{
		"evacuate now":           "NO evacuate takes no argument",
		"evacuat":                `NO unknown call "evacuat"`,
		"":                       "NO empty call",
		"act\x00ivate":           "NO control characters in the call",
		strings.Repeat("x", 400): "NO line too long",
		"include s-ffffffff":     "NO no server of this id was ever listed",
		"readyz":                 "NO not ready",
		"evacuate":               "YES",
	} {
		began := time.Now()
		if got := adminCall(t, env.adminAddr, call); got != want {
			t.Errorf("%.20q: got %q, expected %q", call, got, want)
		}
		if took := time.Since(began); took > adminDeadline {
			t.Errorf("%.20q was answered after %v, expected at most a second", call, took)
		}
	}
	for input, want := range map[string]string{
		"PING\r\n":                             "-ERR protocol error: a command is an array\r\n",
		"*1\r\n$x\r\n":                         "-ERR protocol error: bad number \"x\"\r\n",
		"*99\r\n":                              "-ERR protocol error: length 99, 16 at most\r\n",
		"*1\r\n$4\r\nNONE\r\n":                 "-ERR unknown command \"NONE\"\r\n",
		"*2\r\n$9\r\nSVC.QUERY\r\n$1\r\nx\r\n": "-ERR wrong number of arguments\r\n",
		"*1\r\n$4\r\nPING\r\n*1\r\n$":          "-ERR draining\r\n-BUSY\r\n",
		"\r\n":                                 "-ERR protocol error: a command is an array\r\n",
	} {
		c := env.dial()
		io.WriteString(c, input)
		c.SetReadDeadline(time.Now().Add(clientDeadline))
		if got, err := io.ReadAll(c.r); err != nil || string(got) != want {
			t.Errorf("%q: got %q, %v; expected %q", input, got, err, want)
		}
	}
}
