// Package golden compares what a test writes with a golden file: the form in which another version of the program, or another
// process, reads it. Golden files of stored and sent forms are changed only together with a new version of the form.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateVariable names the environment variable that has Compare write the golden files instead of comparing with them.
const updateVariable = "GOLDEN_UPDATE"

// goldenDir holds the golden files of a package, below the package's own folder.
const goldenDir = "testdata/golden"

// Compare fails the test unless got is byte for byte the content of the golden file of that name.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(goldenDir, name)
	if os.Getenv(updateVariable) != "" {
		write(t, path, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the form has changed\n got %q\nwant %q", path, got, want)
	}
}

// Read returns the content of a golden file; a missing one fails the test.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func write(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
