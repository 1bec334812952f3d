package handover

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenHandover freezes the name and the content of the file of excluded servers. The process that reads the file may be of
// another version.
func TestGoldenHandover(t *testing.T) {
	dir := t.TempDir()
	want := State{Excluded: []string{"s-00000009", "s-5be2a07c"}}
	if err := Save(Path(dir, "n7"), want); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("got files %v, error %v, want one file", files, err)
	}
	golden.Compare(t, "name", []byte(files[0].Name()+"\n"))
	text, err := os.ReadFile(filepath.Join(dir, files[0].Name()))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "handover.json", text)
	// A file that another process wrote is found under its name and read.
	existing := t.TempDir()
	if err := os.WriteFile(filepath.Join(existing, "dewhitch-n7.handover.json"), golden.Read(t, "handover.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(Path(existing, "n7")); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}
