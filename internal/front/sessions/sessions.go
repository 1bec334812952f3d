// Package sessions answers the commands that RESP clients send about their own session, before or between those that
// they are there for: HELLO, CLIENT, SELECT, ECHO, QUIT, COMMAND and PING. It owns a session's name and number. It
// decides nothing about reqs, and hands every other command on.
package sessions

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dewhitch/internal/front"
	"dewhitch/internal/resp"
)

// The bounds of what a client may have kept about itself.
const (
	maxName = 128 // bytes of a name
	proto   = 2   // the one version of RESP that is spoken here
)

// Commands is one session's. It is used by the session's reading goroutine alone.
type Commands struct {
	front.Commands // carries out what is not about the session
	id             uint64
	name           string
	version        string
	library        [2]string // its name and version
}

var lastID atomic.Uint64 // sessions of the program, counted from 1

// New wraps the commands of one session; version is the program's.
func New(next front.Commands, version string) *Commands {
	return &Commands{Commands: next, id: lastID.Add(1), version: version}
}

// Close implements io.Closer.
func (c *Commands) Close() error {
	if next, ok := c.Commands.(io.Closer); ok {
		return next.Close()
	}
	return nil
}

// Do implements front.Commands.
func (c *Commands) Do(came time.Time, cmd resp.Command, s *front.Slot) {
	name := string(bytes.ToUpper(cmd[0]))
	t, known := table[name]
	switch {
	case !known || t.do == nil:
		c.Commands.Do(came, cmd, s)
	case len(cmd) < t.least || len(cmd) > t.most:
		s.Reject(wrongNumber(name))
	default:
		t.do(c, cmd[1:], s)
	}
}

// command is what COMMAND tells of one: the arity as the field's servers have it (below 0: at least so many words), and
// where the keys stand.
type command struct {
	least, most int // words
	do          func(c *Commands, args [][]byte, s *front.Slot)
	flags       []string
	key         int
}

var table map[string]command

func init() { // COMMAND tells of itself
	table = map[string]command{
		"HELLO":        {1, 7, (*Commands).hello, []string{"noscript", "loading", "stale", "fast", "no_auth"}, 0},
		"CLIENT":       {2, 4, (*Commands).client, []string{"noscript", "loading", "stale"}, 0},
		"SELECT":       {2, 2, (*Commands).selectDB, []string{"loading", "stale", "fast"}, 0},
		"ECHO":         {2, 2, (*Commands).echo, []string{"fast"}, 0},
		"PING":         {1, 2, (*Commands).ping, []string{"fast"}, 0},
		"QUIT":         {1, 16, (*Commands).quit, []string{"noscript", "loading", "stale", "fast", "no_auth"}, 0},
		"COMMAND":      {1, 16, (*Commands).commands, []string{"loading", "stale"}, 0},
		"SVC.QUERY":    {4, 5, nil, []string{"write"}, 1},
		"SVC.SUBMIT":   {4, 5, nil, []string{"write"}, 1},
		"LIMIT.GET":    {3, 3, nil, []string{"readonly"}, 1},
		"LIMIT.ADJUST": {4, 4, nil, []string{"write"}, 1},
	}
}

func wrongNumber(name string) string {
	return fmt.Sprintf("wrong number of arguments for '%s' command", strings.ToLower(name))
}

func ok(s *front.Slot) { s.Fill(resp.AppendStatus(nil, "OK")) }

// refuse answers an error that is no fault of the session: clients ask on purpose for what a server may not have, and
// go by the error.
func refuse(s *front.Slot, words string) { s.Fill(resp.AppendFailure(nil, words)) }

// drainer is what may have to send its clients elsewhere; they ask by PING whether it does.
type drainer interface{ Drained() bool }

func (c *Commands) ping(args [][]byte, s *front.Slot) {
	if d, ok := c.Commands.(drainer); ok && d.Drained() {
		refuse(s, "ERR draining")
		return
	}
	if len(args) > 0 {
		c.echo(args, s)
		return
	}
	s.Fill(resp.AppendStatus(nil, "PONG"))
}

func (c *Commands) echo(args [][]byte, s *front.Slot) { s.Fill(resp.AppendBulk(nil, args[0])) }

func (c *Commands) quit(_ [][]byte, s *front.Slot) { s.Last(resp.AppendStatus(nil, "OK")) }

func (c *Commands) selectDB(args [][]byte, s *front.Slot) {
	switch n, err := strconv.Atoi(string(args[0])); {
	case err != nil:
		refuse(s, "ERR value is not an integer or out of range")
	case n != 0:
		refuse(s, "ERR DB index is out of range")
	default:
		ok(s)
	}
}

// hello reads [VERSION [AUTH USER PASSWORD] [SETNAME NAME]]. A fault leaves the session as it was.
func (c *Commands) hello(args [][]byte, s *front.Slot) {
	name := c.name
	if len(args) > 0 {
		version, err := strconv.Atoi(string(args[0]))
		if err != nil {
			refuse(s, "ERR Protocol version is not an integer or out of range")
			return
		}
		if version != proto {
			refuse(s, "NOPROTO unsupported protocol version")
			return
		}
		for rest := args[1:]; len(rest) > 0; {
			switch option := string(bytes.ToUpper(rest[0])); {
			case option == "AUTH" && len(rest) >= 3:
				refuse(s, noPassword)
				return
			case option == "SETNAME" && len(rest) >= 2:
				if !nameable(rest[1]) {
					refuse(s, badName)
					return
				}
				name, rest = string(rest[1]), rest[2:]
			default:
				refuse(s, fmt.Sprintf("ERR Syntax error in HELLO option '%.32s'", rest[0]))
				return
			}
		}
	}
	c.name = name
	b := resp.AppendArray(nil, 14)
	for _, pair := range [][2]string{{"server", "dewhitch"}, {"version", c.version}} {
		b = resp.AppendBulk(resp.AppendBulk(b, pair[0]), pair[1])
	}
	b = resp.AppendInt(resp.AppendBulk(b, "proto"), proto)
	b = resp.AppendInt(resp.AppendBulk(b, "id"), int64(c.id))
	for _, pair := range [][2]string{{"mode", "standalone"}, {"role", "master"}} {
		b = resp.AppendBulk(resp.AppendBulk(b, pair[0]), pair[1])
	}
	s.Fill(resp.AppendArray(resp.AppendBulk(b, "modules"), 0))
}

const (
	noPassword = "ERR AUTH <password> called without any password configured for the default user. " +
		"Are you sure your configuration is correct?"
	badName = "ERR Client names cannot contain spaces, newlines or special characters."
)

// nameable says whether a name can stand in one word of a list.
func nameable(name []byte) bool {
	return len(name) <= maxName && bytes.IndexFunc(name, func(r rune) bool { return r < '!' || r > '~' }) < 0
}

func (c *Commands) client(args [][]byte, s *front.Slot) {
	sub := string(bytes.ToUpper(args[0]))
	words := map[string]int{"ID": 1, "GETNAME": 1, "SETNAME": 2, "SETINFO": 3}[sub]
	switch {
	case words == 0:
		refuse(s, fmt.Sprintf("ERR unknown subcommand '%.32s'. Try CLIENT HELP.", args[0]))
	case words != len(args):
		refuse(s, "ERR "+wrongNumber("client|"+sub))
	case sub == "ID":
		s.Fill(resp.AppendInt(nil, int64(c.id)))
	case sub == "GETNAME":
		s.Fill(resp.AppendBulk(nil, c.name))
	case !nameable(args[words-1]):
		refuse(s, badName)
	case sub == "SETNAME":
		c.name = string(args[1])
		ok(s)
	default:
		attribute := strings.ToUpper(string(args[1]))
		at, known := map[string]int{"LIB-NAME": 0, "LIB-VER": 1}[attribute]
		if !known {
			refuse(s, fmt.Sprintf("ERR Unrecognized option '%.32s'", args[1]))
			return
		}
		c.library[at] = string(args[2])
		ok(s)
	}
}

// commands answers COMMAND, COMMAND COUNT, COMMAND LIST, COMMAND DOCS and COMMAND INFO.
func (c *Commands) commands(args [][]byte, s *front.Slot) {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	if len(args) == 0 {
		s.Fill(infos(names))
		return
	}
	switch sub := string(bytes.ToUpper(args[0])); sub {
	case "COUNT":
		s.Fill(resp.AppendInt(nil, int64(len(table))))
	case "LIST":
		b := resp.AppendArray(nil, len(names))
		for _, name := range names {
			b = resp.AppendBulk(b, strings.ToLower(name))
		}
		s.Fill(b)
	case "DOCS":
		s.Fill(resp.AppendArray(nil, 0)) // in RESP2 a list of names and texts: there are no texts
	case "INFO":
		if len(args) > 1 {
			names = names[:0]
			for _, name := range args[1:] {
				names = append(names, string(bytes.ToUpper(name)))
			}
		}
		s.Fill(infos(names))
	default:
		refuse(s, fmt.Sprintf("ERR unknown subcommand '%.32s'. Try COMMAND HELP.", args[0]))
	}
}

func infos(names []string) []byte {
	b := resp.AppendArray(nil, len(names))
	for _, name := range names {
		t, known := table[name]
		if !known {
			b = append(b, "*-1\r\n"...)
			continue
		}
		arity := t.least
		if t.most != t.least {
			arity = -arity
		}
		b = resp.AppendInt(resp.AppendBulk(resp.AppendArray(b, 6), strings.ToLower(name)), int64(arity))
		b = resp.AppendArray(b, len(t.flags))
		for _, flag := range t.flags {
			b = resp.AppendStatus(b, flag)
		}
		for _, at := range []int{t.key, t.key, min(t.key, 1)} { // the first key, the last, and the step
			b = resp.AppendInt(b, int64(at))
		}
	}
	return b
}
