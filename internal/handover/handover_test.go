package handover

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestHandover guards against exclusions that are lost between two processes, and against the use of a part of a corrupt file.
func TestHandover(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n3")
	if _, err := Load(path); !errors.Is(err, ErrNone) {
		t.Fatalf("without a file: got error %v, want ErrNone", err)
	}
	want := State{Excluded: []string{"s-00000001", "s-5be2a07c"}}
	if err := Save(path, want); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, want); err != nil { // replaces the existing file
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, error %v", got, err)
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Fatalf("got %d files in the folder, want 1: a temporary file is left", len(files))
	}
	// No part of a corrupt file is used.
	for _, broken := range []string{"", `{"excluded":["s-1"`, `{"excluded":[""]}`, `{"excluded":"s-1"}`,
		`{"excluded":["` + strings.Repeat("x", 65) + `"]}`, strings.Repeat(" ", maxSize+1)} {
		os.WriteFile(path, []byte(broken), 0o600)
		if got, err := Load(path); err == nil || errors.Is(err, ErrNone) || len(got.Excluded) > 0 {
			t.Errorf("corrupt file %.40q: got %+v, error %v, want an error and no state", broken, got, err)
		}
	}
	if Path(dir, "../n3") != filepath.Join(dir, "dewhitch-n3.handover.json") {
		t.Fatal("the path of the name ../n3 is outside the folder")
	}
}
