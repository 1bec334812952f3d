package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"

	"dewhitch/internal/golden"
)

// TestGoldenCommandLine guards against changed names of commands, arguments and flags, and changed defaults and enum values,
// which operators' scripts rely on. Help texts are not compared.
func TestGoldenCommandLine(t *testing.T) {
	k, err := kong.New(&cli, kong.Name("dewhitch"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "commands.txt", appendNode(nil, k.Model.Node, k.Model.Name))
}

// appendNode appends a line for the command at path and for each of its arguments and flags, and then its subcommands.
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

// TestGoldenTexts guards against changes in the output of the commands check and version, which operators' scripts read.
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
