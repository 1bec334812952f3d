package main_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"dewhitch/internal/golden"
)

// The golden store and segment, and the golden export of another node, in the packages that write these files.
const (
	goldenStoreDir   = "../../../../internal/ledger/store/testdata/golden/"
	goldenExportFile = "../../internal/ledger/statement/testdata/golden/records.jsonl"
)

// newGoldenLedger creates the folder of a ledger from the golden store and the segment that follows it.
func newGoldenLedger(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	db, err := bbolt.Open(filepath.Join(dir, "ledger.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(golden.Read(t, goldenStoreDir+"store"))) {
			fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
			key, err := hex.DecodeString(fields[1])
			if err != nil {
				return err
			}
			value, err := strconv.Unquote(fields[2])
			if err != nil {
				return err
			}
			b, err := tx.CreateBucketIfNotExists([]byte(fields[0]))
			if err != nil {
				return err
			}
			if err := b.Put(key, []byte(value)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "wal-000000000000000c.log"), golden.Read(t, goldenStoreDir+"segment"), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestLedgerForms guards against changes in what the ledger commands print for the golden store: people read the tables and the
// mismatches, accounting reads the CSV, and the commands merge and verify read the JSON lines. Nothing in the output is masked.
func TestLedgerForms(t *testing.T) {
	t.Parallel()
	dir, files := newGoldenLedger(t), t.TempDir()
	export, validExport := filepath.Join(files, "export"), filepath.Join(files, "sound")
	first, _, _ := bytes.Cut(golden.Read(t, "../../"+goldenExportFile), []byte("\n"))
	if err := os.WriteFile(validExport, first, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		args   []string
		fails  bool
		sorted bool // true if the order of nodes and mismatches varies; the test then sorts the lines, with each node on its own line
	}{
		{"show", []string{"show", dir}, false, false},
		{"show-hauliers", []string{"show", "--hauliers", dir}, false, false},
		{"export.jsonl", []string{"export", dir}, false, false},
		{"export-after.jsonl", []string{"export", "--after", "43", dir}, false, false},
		{"export.csv", []string{"export", "--csv", dir}, false, false},
		{"verify", []string{"verify", dir, goldenExportFile}, true, true},
		{"verify-sound", []string{"verify", validExport}, false, false},
		{"merge", []string{"merge", export}, true, false},
		{"merge-hauliers", []string{"merge", "--hauliers", export}, true, false},
		{"merge-two", []string{"merge", export, goldenExportFile}, true, true},
	} {
		cmd := exec.Command(program, append([]string{"ledger"}, c.args...)...)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		out, err := cmd.Output()
		if (err != nil) != c.fails {
			t.Errorf("%s: unexpected result of the command: %v, with the standard error: %s", c.name, err, stderr.Bytes())
		}
		if c.name == "export.jsonl" {
			if err := os.WriteFile(export, out, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if c.sorted {
			lines := strings.Split(strings.ReplaceAll(string(out), " lives), ", " lives)\n"), "\n")
			slices.Sort(lines)
			out = []byte(strings.Join(lines, "\n"))
		}
		if stderr.Len() > 0 {
			out = append(append(out, "on the standard error:\n"...), stderr.Bytes()...)
		}
		golden.Compare(t, "ledger/"+c.name, out)
	}
}
