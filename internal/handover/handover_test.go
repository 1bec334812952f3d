package handover

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestHandover(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n3")
	if _, err := Load(path); !errors.Is(err, ErrNone) {
		t.Fatalf("nothing left: %v", err)
	}
	want := State{Excluded: []string{"s-00000001", "s-5be2a07c"}}
	if err := Save(path, want); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, want); err != nil { // over the last one
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Fatalf("%d files: a temporary one was left", len(files))
	}
	// What another process left may be broken in any way: nothing of it is taken.
	for _, broken := range []string{"", `{"excluded":["s-1"`, `{"excluded":[""]}`, `{"excluded":"s-1"}`,
		`{"excluded":["` + strings.Repeat("x", 65) + `"]}`, strings.Repeat(" ", maxSize+1)} {
		os.WriteFile(path, []byte(broken), 0o600)
		if got, err := Load(path); err == nil || errors.Is(err, ErrNone) || len(got.Excluded) > 0 {
			t.Errorf("%.40q: %+v, %v", broken, got, err)
		}
	}
	if Path(dir, "../n3") != filepath.Join(dir, "dewhitch-n3.handover.json") {
		t.Fatal("a name leads out of the folder")
	}
}
