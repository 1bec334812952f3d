package main

import (
	"fmt"
	"testing"

	"github.com/alecthomas/kong"

	"dewhitch/internal/golden"
)

// TestGoldenCommandLine guards against changed names of commands, arguments and flags, and changed defaults and enum values,
// which operators' scripts rely on. Help texts are not compared.
func TestGoldenCommandLine(t *testing.T) {
	k, err := kong.New(&cli, kong.Name("soak"))
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
