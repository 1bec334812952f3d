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

// Operations is the content of the operators' file: the settings that the platform does not set.
type Operations struct {
	Operator Operator
	Ledger   Ledger
	Warm     WarmStart
}

// WarmStart configures the snapshots by which the decision module's state outlives a process.
type WarmStart struct {
	Mode     string        // on, off, or auto, which means on if a listening socket was inherited; default auto
	Interval time.Duration // time between two snapshots; default 500 ms
	Dir      string        // folder of snapshots, shared with the next process; $TMPDIR if empty
}

// Enabled returns true if the process keeps snapshots. inherited is true if the process inherited a listening socket.
func (w WarmStart) Enabled(inherited bool) bool {
	return w.Mode == "on" || w.Mode == "auto" && inherited
}

// Operator configures the operators' listener.
type Operator struct {
	Listen string // host:port for /metrics and /ledger; no listener if empty
}

// Ledger configures the ledger of requests and its audits.
type Ledger struct {
	Enabled           bool          // whether the ledger is kept; default false
	Rows              int           // maximum number of customers' rows in memory, about 1 KiB each; default 20000
	Open              int           // maximum number of open entries; default 65536
	RecentPostings    int           // number of recent postings that are kept for alarms; default 4096
	AuditInterval     time.Duration // time between two audits; default 1 s
	StatementInterval time.Duration // time between two statements to the disk; default 10 s
	AlarmFile         string        // path of a file with alarms as JSON lines; none if empty
	Dir               string        // folder of the durable ledger; if empty, the figures are lost with the process
	SegmentBytes      int           // size of a segment of the log between statements; default 4 MiB
	Segments          int           // maximum number of segments that no committed statement covers; default 8
	Records           int           // number of records kept for export; default 1000000
	Sync              bool          // whether each statement is flushed to the disk; default true
}

// operationsFile mirrors the file. Keys that the file omits keep the values set before decoding.
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

// LoadOperations reads the operators' file and checks it against the published schema. Unlike in other files, an unknown key is
// an error: a misspelt key would silently disable a safeguard that operators rely on.
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
	if err := toml.Unmarshal(text, &f); err != nil { // not expected after the check against the schema
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

// validateFile checks a TOML file against a published schema. Its error names the first faulty key and the line.
func validateFile(path string, text []byte, schemaName string, schemaText []byte) error {
	var keys map[string]any
	if err := toml.Unmarshal(text, &keys); err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return newError(fmt.Sprintf("%s:%d", path, parseErr.Position.Line), "%s: %s", parseErr.LastKey, parseErr.Message)
		}
		return newError(path, "%v", err)
	}
	// The keys are converted to JSON and back, because the schema library only accepts its own types of numbers.
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

// newSchemaError returns an error that names the first key that violates the schema, and the line of that key.
func newSchemaError(path string, text []byte, invalid *jsonschema.ValidationError) error {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	key := strings.Join(invalid.InstanceLocation, ".")
	problem := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if _, unknown, ok := strings.Cut(problem, "additional properties '"); ok { // the location is the table; the key at fault is the unknown key in it
		unknown, _, _ = strings.Cut(unknown, "'")
		key = strings.TrimPrefix(key+"."+unknown, ".")
		problem = "there is no such key"
	}
	return newError(fmt.Sprintf("%s:%d", path, lineOf(text, key)), "%s: %s", key, problem)
}

// lineOf returns the number of the line that sets key, such as ledger.rows. If there is none, it returns the line of the table whose
// name is key, or 1 if there is no such table either.
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
