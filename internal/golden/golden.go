// Package golden compares the output of tests with golden files, which hold the formats that other processes, or other versions
// of the program, read. A golden file of a stored or transmitted format changes only together with the version of the format.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateVariable is the name of the environment variable that makes Compare write the golden files before comparing.
const updateVariable = "GOLDEN_UPDATE"

// goldenDir is the folder of a package's golden files, relative to the package's folder.
const goldenDir = "testdata/golden"

// Compare fails the test unless got equals the content of the golden file of that name.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(goldenDir, name)
	if os.Getenv(updateVariable) != "" {
		write(t, path, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the output differs from the golden file\n got %q\nwant %q", path, got, want)
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

// write writes a golden file and creates its folder if needed.
func write(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
