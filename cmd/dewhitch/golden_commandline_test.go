package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"

	"dewhitch/internal/golden"
)

// The names of all commands, arguments and flags, with defaults and the words that a flag takes. Operators and their scripts write
// them. What the help says of each is not a part of the form.
func TestGoldenCommandLine(t *testing.T) {
	k, err := kong.New(&cli, kong.Name("dewhitch"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "commands.txt", appendNode(nil, k.Model.Node, k.Model.Name))
}

func appendNode(b []byte, n *kong.Node, path string) []byte {
	b = append(append(b, path...), '\n')
	for _, a := range n.Positional {
		b = fmt.Appendf(b, "\t%s required=%v %v\n", a.Summary(), a.Required, a.Target.Type())
	}
	for _, f := range n.Flags {
		b = fmt.Appendf(b, "\t--%s short=%q default=%q enum=%q required=%v %v\n", f.Name, f.Short, f.Default, f.Enum, f.Required, f.Target.Type())
	}
	if n.DefaultCmd != nil {
		b = fmt.Appendf(b, "\tby default %s\n", n.DefaultCmd.Name)
	}
	for _, c := range n.Children {
		b = appendNode(b, c, path+" "+c.Name)
	}
	return b
}

// What check and version print. Operators' scripts read it.
func TestGoldenTexts(t *testing.T) {
	const files = "../../internal/config/testdata/golden/"
	t.Setenv("NODE_CONFIG", files+"node.json")
	for _, variable := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_ADMIN", "NODE_FD"} {
		t.Setenv(variable, "")
	}
	before, out := cli, os.Stdout
	defer func() { cli, os.Stdout = before, out }()
	cli.Limits, cli.Operations, cli.Fleet = files+"limits.toml", files+"operations.toml", files+"fleet.toml"
	path := filepath.Join(t.TempDir(), "out")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	os.Stdout = f
	for _, run := range []func() error{checkCmd{}.Run, versionCmd{}.Run} {
		if err := run(); err != nil {
			t.Error(err)
		}
	}
	f.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "texts.txt", text)
}
