// Package sessions answers the commands that RESP clients send about their own session, before or between requests: HELLO, CLIENT,
// SELECT, ECHO, QUIT, COMMAND and PING. It holds the name and the number of a session, and passes all other commands on.
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

// Bounds and version of a session.
const (
	maxNameBytes    = 128 // maximum length of the name of a client, in bytes
	protocolVersion = 2   // the only supported version of RESP
)

// Commands carries out the commands of one session. Only the session's reading goroutine uses it.
type Commands struct {
	front.Commands           // carries out all other commands
	id             uint64    // number of the session in the process
	name           string    // name that the client gave itself
	version        string    // version of this program
	library        [2]string // name and version of the client's library, as set by CLIENT SETINFO
}

// lastID is the number of the last session of the process. The first session has number 1.
var lastID atomic.Uint64

// New returns the commands of a new session, which passes the commands of other packages to next. version is the version of this
// program.
func New(next front.Commands, version string) *Commands {
	return &Commands{Commands: next, id: lastID.Add(1), version: version}
}

// Close implements io.Closer. It closes the next commands if they are an io.Closer.
func (c *Commands) Close() error {
	if next, ok := c.Commands.(io.Closer); ok {
		return next.Close()
	}
	return nil
}

// Do implements front.Commands.
func (c *Commands) Do(readAt time.Time, cmd resp.Command, s *front.Slot) {
	name := string(bytes.ToUpper(cmd[0]))
	entry, known := commandTable[name]
	switch {
	case !known || entry.handle == nil:
		c.Commands.Do(readAt, cmd, s)
	case len(cmd) < entry.minLength || len(cmd) > entry.maxLength:
		s.RejectInvalid(argumentCountError(name))
	default:
		entry.handle(c, cmd[1:], s)
	}
}

// command describes how a command is carried out and what COMMAND reports about it.
type command struct {
	minLength int                                             // minimum number of arguments, including the name of the command
	maxLength int                                             // maximum number of arguments, including the name of the command
	handle    func(c *Commands, args [][]byte, s *front.Slot) // nil if the command is passed on
	flags     []string                                        // flags in the terms of Redis
	key       int                                             // position of its only key; 0 if it has none
}

// commandTable holds all commands of a gateway, by their names in upper case.
var commandTable map[string]command

func init() { // not an initializer, because the handler of COMMAND reads the table and Go forbids the cycle
	commandTable = map[string]command{
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

// argumentCountError returns the text of the error for a command with a wrong number of arguments.
func argumentCountError(name string) string {
	return fmt.Sprintf("wrong number of arguments for '%s' command", strings.ToLower(name))
}

// replyOK answers with the status OK.
func replyOK(s *front.Slot) { s.Fill(resp.AppendStatus(nil, "OK")) }

// replyError answers with an error that does not count as an invalid command, because clients find out by such errors what a server
// supports.
func replyError(s *front.Slot, text string) { s.Fill(resp.AppendError(nil, text)) }

// drainer is implemented by the commands of a gateway that can be drained. PING then reports a drain.
type drainer interface{ Drained() bool }

func (c *Commands) ping(args [][]byte, s *front.Slot) {
	if d, ok := c.Commands.(drainer); ok && d.Drained() {
		replyError(s, "ERR draining")
		return
	}
	if len(args) > 0 {
		c.echo(args, s)
		return
	}
	s.Fill(resp.AppendStatus(nil, "PONG"))
}

func (c *Commands) echo(args [][]byte, s *front.Slot) { s.Fill(resp.AppendBulk(nil, args[0])) }

func (c *Commands) quit(_ [][]byte, s *front.Slot) { s.FillAndClose(resp.AppendStatus(nil, "OK")) }

func (c *Commands) selectDB(args [][]byte, s *front.Slot) {
	switch n, err := strconv.Atoi(string(args[0])); {
	case err != nil:
		replyError(s, "ERR value is not an integer or out of range")
	case n != 0:
		replyError(s, "ERR DB index is out of range")
	default:
		replyOK(s)
	}
}

// hello answers HELLO [VERSION [AUTH USER PASSWORD] [SETNAME NAME]]. An error leaves the session unchanged.
func (c *Commands) hello(args [][]byte, s *front.Slot) {
	name := c.name
	if len(args) > 0 {
		version, err := strconv.Atoi(string(args[0]))
		if err != nil {
			replyError(s, "ERR Protocol version is not an integer or out of range")
			return
		}
		if version != protocolVersion {
			replyError(s, "NOPROTO unsupported protocol version")
			return
		}
		var errText string
		if name, errText = helloOptions(args[1:], name); errText != "" {
			replyError(s, errText)
			return
		}
	}
	c.name = name
	s.Fill(c.helloReply())
}

// helloOptions parses the options of HELLO. It returns the name that they give the session, which is name by default, or the text of an
// error.
func helloOptions(options [][]byte, name string) (newName, errText string) {
	for len(options) > 0 {
		switch option := string(bytes.ToUpper(options[0])); {
		case option == "AUTH" && len(options) >= 3:
			return "", noPasswordError
		case option == "SETNAME" && len(options) >= 2:
			if !isValidName(options[1]) {
				return "", badNameError
			}
			name = string(options[1])
			options = options[2:]
		default:
			return "", fmt.Sprintf("ERR Syntax error in HELLO option '%.32s'", options[0])
		}
	}
	return name, ""
}

// helloReply returns the answer to HELLO, which consists of pairs of names and values.
func (c *Commands) helloReply() []byte {
	b := resp.AppendArray(nil, 14)
	for _, pair := range [][2]string{{"server", "dewhitch"}, {"version", c.version}} {
		b = resp.AppendBulk(resp.AppendBulk(b, pair[0]), pair[1])
	}
	b = resp.AppendInt(resp.AppendBulk(b, "proto"), protocolVersion)
	b = resp.AppendInt(resp.AppendBulk(b, "id"), int64(c.id))
	for _, pair := range [][2]string{{"mode", "standalone"}, {"role", "master"}} {
		b = resp.AppendBulk(resp.AppendBulk(b, pair[0]), pair[1])
	}
	return resp.AppendArray(resp.AppendBulk(b, "modules"), 0)
}

const (
	noPasswordError = "ERR AUTH <password> called without any password configured for the default user. " +
		"Are you sure your configuration is correct?"
	badNameError = "ERR Client names cannot contain spaces, newlines or special characters."
)

// isValidName reports whether a name has at most maxNameBytes bytes, all of them printable ASCII characters other than a space.
func isValidName(name []byte) bool {
	return len(name) <= maxNameBytes && bytes.IndexFunc(name, func(r rune) bool { return r < '!' || r > '~' }) < 0
}

// client answers CLIENT ID, GETNAME, SETNAME and SETINFO.
func (c *Commands) client(args [][]byte, s *front.Slot) {
	subcommand := string(bytes.ToUpper(args[0]))
	length := map[string]int{"ID": 1, "GETNAME": 1, "SETNAME": 2, "SETINFO": 3}[subcommand]
	switch {
	case length == 0:
		replyError(s, fmt.Sprintf("ERR unknown subcommand '%.32s'. Try CLIENT HELP.", args[0]))
	case length != len(args):
		replyError(s, "ERR "+argumentCountError("client|"+subcommand))
	case subcommand == "ID":
		s.Fill(resp.AppendInt(nil, int64(c.id)))
	case subcommand == "GETNAME":
		s.Fill(resp.AppendBulk(nil, c.name))
	case !isValidName(args[length-1]):
		replyError(s, badNameError)
	case subcommand == "SETNAME":
		c.name = string(args[1])
		replyOK(s)
	default:
		attribute := strings.ToUpper(string(args[1]))
		index, known := map[string]int{"LIB-NAME": 0, "LIB-VER": 1}[attribute]
		if !known {
			replyError(s, fmt.Sprintf("ERR Unrecognized option '%.32s'", args[1]))
			return
		}
		c.library[index] = string(args[2])
		replyOK(s)
	}
}

// commands answers COMMAND, COMMAND COUNT, COMMAND LIST, COMMAND DOCS and COMMAND INFO.
func (c *Commands) commands(args [][]byte, s *front.Slot) {
	names := make([]string, 0, len(commandTable))
	for name := range commandTable {
		names = append(names, name)
	}
	if len(args) == 0 {
		s.Fill(commandInfos(names))
		return
	}
	switch subcommand := string(bytes.ToUpper(args[0])); subcommand {
	case "COUNT":
		s.Fill(resp.AppendInt(nil, int64(len(commandTable))))
	case "LIST":
		b := resp.AppendArray(nil, len(names))
		for _, name := range names {
			b = resp.AppendBulk(b, strings.ToLower(name))
		}
		s.Fill(b)
	case "DOCS":
		s.Fill(resp.AppendArray(nil, 0)) // an empty list, because no command has documentation
	case "INFO":
		if len(args) > 1 {
			names = names[:0]
			for _, name := range args[1:] {
				names = append(names, string(bytes.ToUpper(name)))
			}
		}
		s.Fill(commandInfos(names))
	default:
		replyError(s, fmt.Sprintf("ERR unknown subcommand '%.32s'. Try COMMAND HELP.", args[0]))
	}
}

// commandInfos returns the descriptions of commands in the form of COMMAND. A negative arity stands for a minimum.
func commandInfos(names []string) []byte {
	b := resp.AppendArray(nil, len(names))
	for _, name := range names {
		entry, known := commandTable[name]
		if !known {
			b = append(b, "*-1\r\n"...)
			continue
		}
		arity := entry.minLength
		if entry.maxLength != entry.minLength {
			arity = -arity
		}
		b = resp.AppendInt(resp.AppendBulk(resp.AppendArray(b, 6), strings.ToLower(name)), int64(arity))
		b = resp.AppendArray(b, len(entry.flags))
		for _, flag := range entry.flags {
			b = resp.AppendStatus(b, flag)
		}
		for _, at := range []int{entry.key, entry.key, min(entry.key, 1)} { // first key, last key, and step
			b = resp.AppendInt(b, int64(at))
		}
	}
	return b
}
