package drill

import (
	"fmt"
	"strings"
	"time"

	"go.starlark.net/starlark"
)

// scenarioBuilder holds a scenario while its file is executed.
type scenarioBuilder struct {
	scenario Scenario
	size     Size
	hasFleet bool
}

// vocabulary returns the predeclared functions of scenario files, by name.
func (b *scenarioBuilder) vocabulary() starlark.StringDict {
	vocabulary := starlark.StringDict{}
	add := func(name string, f func(*builtinCall) (starlark.Value, error)) {
		vocabulary[name] = starlark.NewBuiltin(name, func(t *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			return f(&builtinCall{thread: t, builtin: fn, args: args, keywordArgs: named})
		})
	}
	add("fleet", b.setFleet)
	add("at", b.addEvent)
	add("expect", b.addExpect)
	for _, kind := range []string{"gateways", "servers", "zone", "gateway", "server"} {
		add(kind, func(c *builtinCall) (starlark.Value, error) { return b.target(c, kind) })
	}
	for _, kind := range []string{"leader", "counter", "registry"} {
		add(kind, func(c *builtinCall) (starlark.Value, error) {
			return target{text: kind + "()", kind: kind}, c.unpack()
		})
	}
	b.actions(add)
	return vocabulary
}

// builtinCall is a call of a predeclared function in a scenario file.
type builtinCall struct {
	thread      *starlark.Thread
	builtin     *starlark.Builtin
	args        starlark.Tuple
	keywordArgs []starlark.Tuple
}

// unpack stores the arguments in the variables of pairs. An argument whose name ends in a question mark is optional.
func (c *builtinCall) unpack(pairs ...any) error {
	return starlark.UnpackArgs(c.builtin.Name(), c.args, c.keywordArgs, pairs...)
}

// position returns the position of the call in the file.
func (c *builtinCall) position() string { return c.thread.CallFrame(1).Pos.String() }

// text returns the call in the form in which timelines and results show it, close to the text of the file.
func (c *builtinCall) text() string {
	var arguments []string
	for _, a := range c.args {
		arguments = append(arguments, a.String())
	}
	for _, p := range c.keywordArgs {
		arguments = append(arguments, string(p[0].(starlark.String))+"="+p[1].String())
	}
	return c.builtin.Name() + "(" + strings.Join(arguments, ", ") + ")"
}

// number is an int or a float of a scenario file.
type number float64

// Unpack implements starlark.Unpacker.
func (n *number) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("got %s, expected a number", v.Type())
	}
	*n = number(f)
	return nil
}

// checkRange returns an error unless v is between lower and upper, inclusive.
func checkRange(what string, v, lower, upper float64) error {
	if !(v >= lower && v <= upper) {
		return fmt.Errorf("%s = %v; expected %v to %v", what, v, lower, upper)
	}
	return nil
}

func seconds(n number) time.Duration { return time.Duration(float64(n) * 1e9) }

// actionValue is a value of a scenario file that holds an action.
type actionValue struct {
	text    string
	do      action
	targets []string // servers that a server action applies to
}

func (a actionValue) String() string        { return a.text }
func (a actionValue) Type() string          { return "action" }
func (a actionValue) Freeze()               {}
func (a actionValue) Truth() starlark.Bool  { return true }
func (a actionValue) Hash() (uint32, error) { return starlark.String(a.text).Hash() }
