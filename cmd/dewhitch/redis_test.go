package main_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"dewhitch/internal/standin"
)

// TestRealClient guards against answers of a planner or a forwarder that a Redis client library does not accept. The client sets
// a name and requests version 2 or 3 of the protocol.
func TestRealClient(t *testing.T) {
	t.Parallel()
	registry := newZookeeper(t)
	env := newEnvironment(t)
	go env.backends.serveAll()
	env.registryAddr = registry.Addr()
	p := env.start("serve")
	if !eventually(func() bool { return registry.Owner("/dewhitch/planners/gateway-0") != 0 }) {
		t.Fatal("the planner is not registered\n", p.log())
	}
	forwarderEnv := *env
	forwarderEnv.listenAddr = standin.OwnAddr()
	forwarder := forwarderEnv.start("forward")
	if !eventually(func() bool { return strings.Contains(forwarder.log(), env.limitsAddr) }) {
		t.Fatal("the forwarder does not know the planner\n", forwarder.log())
	}
	for front, addr := range map[string]string{"planner": env.limitsAddr, "forwarder": forwarderEnv.listenAddr} {
		for _, protocol := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s resp%d", front, protocol), func(t *testing.T) {
				checkClient(t, addr, protocol, fmt.Sprintf("%016x", 700+10*protocol+len(front)))
			})
		}
	}
}

// checkClient checks the answers to commands that a client library sends: commands that concern the session, LIMIT commands and
// SVC commands.
func checkClient(t *testing.T, addr string, protocol int, customer string) {
	ctx, cancel := context.WithTimeout(t.Context(), 6*waitLimit)
	defer cancel()
	c := redis.NewClient(&redis.Options{Addr: addr, ClientName: "lorries", Protocol: protocol,
		ReadTimeout: waitLimit, DialTimeout: waitLimit, MaxRetries: -1})
	defer c.Close()
	check := func(name string, got any, err error, want any) {
		t.Helper()
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: got %v, %v; expected %v", name, got, err, want)
		}
	}
	checkSession(ctx, c, check)
	// Commands on the session must not count as faults: the pipeline has far more of them than the faults after which a gateway
	// closes a connection.
	pipe := c.Pipeline()
	for range 30 {
		pipe.Do(ctx, "CLIENT", "SETINFO", "LIB-NAME", "go-redis")
		pipe.Do(ctx, "SELECT", 0)
	}
	adjust := pipe.Do(ctx, "LIMIT.ADJUST", customer, 4, quotaPlanArgs)
	remaining := pipe.Do(ctx, "LIMIT.GET", customer, quotaPlanArgs)
	_, err := pipe.Exec(ctx)
	check("a pipeline", adjust.Val(), err, "4")
	values, _ := remaining.Slice()
	check("LIMIT.GET", len(values) == 3 && values[0] == "40", remaining.Err(), true)
	served, err := c.Do(ctx, "SVC.QUERY", customer, "r"+customer[8:], "c=lookup,"+quotaPlanArgs).Result()
	check("SVC.QUERY", served, err, "r"+customer[8:])
	quit := c.Conn()
	defer quit.Close()
	answer, err := quit.Do(ctx, "QUIT").Result()
	check("QUIT", answer, err, "OK")
	time.Sleep(time.Millisecond)
	if _, err := quit.Do(ctx, "PING").Result(); err == nil {
		t.Error("the session still answers after QUIT, expected its end")
	}
}

// checkSession sends the commands on the client's session.
func checkSession(ctx context.Context, c *redis.Client, check func(name string, got any, err error, want any)) {
	name, err := c.ClientGetName(ctx).Result()
	check("CLIENT GETNAME", name, err, "lorries")
	v, err := c.Ping(ctx).Result()
	check("PING", v, err, "PONG")
	v, err = c.Echo(ctx, "rain").Result()
	check("ECHO", v, err, "rain")
	id, err := c.ClientID(ctx).Result()
	check("CLIENT ID", id > 0, err, true)
	answer, err := c.Do(ctx, "SELECT", 0).Result()
	check("SELECT 0", answer, err, "OK")
	_, err = c.Do(ctx, "SELECT", 1).Result()
	check("SELECT 1", err, nil, "ERR DB index is out of range")
	commands, err := c.Command(ctx).Result()
	check("COMMAND", len(commands) >= 11 && commands["limit.get"] != nil, err, true)
}
