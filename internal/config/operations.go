package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"dewhitch/deploy"
)

// Operations is the operators' file: what is not the platform's to set.
type Operations struct {
	Operator Operator
	Ledger   Ledger
	Warm     WarmStart
}

// WarmStart is how what a process learnt outlives it.
type WarmStart struct {
	Mode     string // on, off, or auto: where a listening socket is handed down
	Interval time.Duration
	Dir      string // empty: $TMPDIR
}

// Enabled tells whether snapshots are kept by a process that was handed a listening socket, or not.
func (w WarmStart) Enabled(inherited bool) bool {
	return w.Mode == "on" || w.Mode == "auto" && inherited
}

// Operator is the operators' listener.
type Operator struct {
	Listen string // empty: off
}

// Ledger is how the books are kept.
type Ledger struct {
	Enabled                          bool
	Rows, Open, RecentPostings       int
	AuditInterval, StatementInterval time.Duration
	AlarmFile, Dir                   string
	SegmentBytes                     int
	Segments, Records                int
	Sync                             bool
}

// operationsFile mirrors the file; what it leaves out keeps the value that it was made with.
type operationsFile struct {
	Operator struct {
		Listen string
	}
	Ledger struct {
		Enabled            bool
		Rows, Open, Flight int
		AuditMS            int    `toml:"audit_ms"`
		AlarmFile          string `toml:"alarm_file"`
		Dir                string
		StatementMS        int `toml:"statement_ms"`
		SegmentMB          int `toml:"segment_mb"`
		Segments, Records  int
		Sync               bool
	}
	Warm struct {
		Mode    string
		EveryMS int `toml:"every_ms"`
		Dir     string
	} `toml:"warm_start"`
}

// LoadOperations reads the operators' file and checks it against the published schema. Unlike other files it may hold no
// key that is not known: a misspelt one would leave a guard off that somebody counts on.
func LoadOperations(path string) (*Operations, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, newError(path, "%v", err)
	}
	return parseOperations(path, text)
}

func parseOperations(path string, text []byte) (*Operations, error) {
	if err := validateFile(path, text, "operations.schema.json", deploy.OperationsSchema); err != nil {
		return nil, err
	}
	var f operationsFile
	l := &f.Ledger
	l.Rows, l.Open, l.Flight, l.AuditMS, l.StatementMS = 20000, 65536, 4096, 1000, 10000
	l.SegmentMB, l.Segments, l.Records, l.Sync = 4, 8, 1000000, true
	f.Warm.Mode, f.Warm.EveryMS = "auto", 500
	if err := toml.Unmarshal(text, &f); err != nil { // the schema has seen to that
		return nil, newError(path, "%v", err)
	}
	if f.Operator.Listen != "" {
		if err := checkAddress("operator.listen", f.Operator.Listen); err != nil {
			return nil, err
		}
	}
	return &Operations{Operator: Operator{f.Operator.Listen}, Ledger: Ledger{Enabled: l.Enabled, Rows: l.Rows, Open: l.Open,
		RecentPostings: l.Flight, AuditInterval: time.Duration(l.AuditMS) * time.Millisecond,
		StatementInterval: time.Duration(l.StatementMS) * time.Millisecond, AlarmFile: l.AlarmFile, Dir: l.Dir,
		SegmentBytes: l.SegmentMB << 20, Segments: l.Segments, Records: l.Records, Sync: l.Sync},
		Warm: WarmStart{Mode: f.Warm.Mode, Interval: time.Duration(f.Warm.EveryMS) * time.Millisecond, Dir: f.Warm.Dir}}, nil
}

// validateFile checks a file's keys against a published schema; its error names the first key at fault, and the line.
func validateFile(path string, text []byte, schemaName string, schemaText []byte) error {
	var keys map[string]any
	if err := toml.Unmarshal(text, &keys); err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return newError(fmt.Sprintf("%s:%d", path, parseErr.Position.Line), "%s: %s", parseErr.LastKey, parseErr.Message)
		}
		return newError(path, "%v", err)
	}
	// Through JSON and back: the schema knows its kinds of number alone.
	b, err := json.Marshal(keys)
	if err != nil {
		return newError(path, "%v", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return newError(path, "%v", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return newError(schemaName, "%v", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return newError(schemaName, "%v", err)
	}
	schema, err := c.Compile(schemaName)
	if err != nil {
		return newError(schemaName, "%v", err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); errors.As(err, &invalid) {
		return newSchemaError(path, text, invalid)
	}
	return nil
}

// newSchemaError is the error of the first key that does not fit the schema, with its line.
func newSchemaError(path string, text []byte, invalid *jsonschema.ValidationError) error {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	key := strings.Join(invalid.InstanceLocation, ".")
	problem := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if _, unknown, ok := strings.Cut(problem, "additional properties '"); ok { // the key is the one that is too many
		unknown, _, _ = strings.Cut(unknown, "'")
		key = strings.TrimPrefix(key+"."+unknown, ".")
		problem = "there is no such key"
	}
	return newError(fmt.Sprintf("%s:%d", path, lineOf(text, key)), "%s: %s", key, problem)
}

// lineOf finds the line of a key such as ledger.rows, or of its table; 1 if it is written in a form of its own.
func lineOf(text []byte, key string) int {
	table, found := "", 1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			name, _, _ = strings.Cut(name, "]")
			if table = strings.TrimSpace(name); table == key {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		name = strings.Trim(strings.TrimSpace(name), `"'`)
		if ok && strings.TrimPrefix(table+"."+name, ".") == key {
			return i + 1
		}
	}
	return found
}
