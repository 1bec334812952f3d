// Command simadapter is the adapter that connects gateways of package dewhitch to the simulator: it reads events from the
// standard input and writes the gateways' actions to the standard output. The gateways share no state, and the adapter makes no
// decisions of its own.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"bufio"
	dw "dewhitch"
	"dewhitch/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run processes rounds, which are groups of messages with the same time, and writes the actions and an acknowledgement for each
// round. It returns nil if the input ends between two rounds.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), bufio.NewWriter(out)
	gateways := map[string]*dw.Gateway{}
	var buf []byte
	for {
		round, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = buf[:0]
		for _, m := range round.Messages {
			if buf, err = apply(gateways, round.Now, m, buf); err != nil {
				return err
			}
		}
		w.Write(append(buf, "ack\n"...))
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// apply passes one message to its gateway, and appends the lines of the resulting actions to buf.
func apply(gateways map[string]*dw.Gateway, now dw.Instant, m wire.Message, buf []byte) ([]byte, error) {
	fieldError := func(field, problem string) error {
		return &wire.Error{Line: m.Line, Message: fmt.Sprintf("%T", m.Body), Field: field, Problem: problem}
	}
	switch body := m.Body.(type) {
	case wire.Hello:
		g, err := dw.New(body.Settings, body.Seed)
		if err != nil {
			return buf, fieldError("Config", err.Error())
		}
		gateways[m.Gateway] = g
	case wire.Kill:
		delete(gateways, m.Gateway)
	case dw.Event:
		g := gateways[m.Gateway]
		if g == nil {
			return buf, fieldError("Gateway", "no such instance: "+m.Gateway)
		}
		actions, panicText := handle(g, now, body)
		if panicText != "" {
			return wire.AppendException(buf, m.Gateway, panicText), nil
		}
		for _, action := range actions {
			buf = wire.AppendAction(buf, m.Gateway, action)
		}
	}
	return buf, nil
}

// handle passes an event to the gateway. If the gateway panics, handle returns the text of the panic instead of actions.
func handle(g *dw.Gateway, now dw.Instant, e dw.Event) (actions []dw.Action, panicText string) {
	defer func() {
		if p := recover(); p != nil {
			panicText = fmt.Sprintf("panic: %v", p)
		}
	}()
	return g.Handle(now, e, nil), ""
}
