package main_test

import (
	"strings"
	"testing"
)

// TestCommands guards against commands that accept an incomplete configuration, or whose errors do not name the missing key.
func TestCommands(t *testing.T) {
	env := newEnvironment(t)
	for _, c := range []struct{ args, want string }{{"check", "configuration of n0 is good"}, {"version", "dewhitch "}} {
		out, err := env.command(c.args).CombinedOutput()
		if err != nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: got %v, or output without the expected text: %s", c.args, err, out)
		}
	}
	env.listenAddr = ""
	for _, c := range []struct{ args, want string }{{"forward", "forward.listen: missing"},
		{"serve", "listen (NODE_LISTEN): missing"}, {"check", "listen (NODE_LISTEN): missing"}, {"novel", "unexpected argument"}} {
		if out := env.runToFailure(c.args); !strings.Contains(out, c.want) {
			t.Errorf("%s without a listen address: the output does not name the missing key: %s", c.args, out)
		}
	}
}
