package handover

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"sync"
	"testing"

	"dewhitch/internal/golden"
)

// sharedRecord is one process's record of a handover file.
type sharedRecord struct {
	*Record
	locks *Locks
}

func openShared(t *testing.T, path string) *sharedRecord {
	locks := OpenLocks(path)
	t.Cleanup(locks.Close)
	return &sharedRecord{OpenRecord(path, locks), locks}
}

// olderProcess replaces the file as a process of an older build does: from its own view alone, at its start and after each call.
type olderProcess struct {
	path string
	view State
}

func startOlderProcess(t *testing.T, path string) *olderProcess {
	state, _ := Load(path)
	p := &olderProcess{path, State{Excluded: state.Excluded}}
	if len(p.view.Excluded) > 0 {
		p.write(t)
	}
	return p
}

func (p *olderProcess) write(t *testing.T) {
	if err := Save(p.path, p.view); err != nil {
		t.Fatal(err)
	}
}

// call changes the view, and reports whether that was a change. An older process confirms a call that does not change its view.
func (p *olderProcess) call(t *testing.T, id string, excluded bool) bool {
	if slices.Contains(p.view.Excluded, id) == excluded {
		return false
	}
	p.view = p.view.with(Changes{id: excluded})
	p.write(t)
	return true
}

// TestRecordBesideOlderBuilds guards against calls that are lost because a process of an older build, which knows only its own
// calls, runs beside two others and replaces the file. Each seed is another order of calls and restarts.
func TestRecordBesideOlderBuilds(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		path := Path(t.TempDir(), "n0")
		older := startOlderProcess(t, path)
		records := []*sharedRecord{openShared(t, path), openShared(t, path)}
		want := State{Excluded: []string{}}
		for step := range 40 {
			id, excluded := fmt.Sprintf("s-%08x", rng.IntN(4)), rng.IntN(2) == 0
			switch party := rng.IntN(5); party {
			case 0, 1:
				if err := records[party].Update(Changes{id: excluded}); err != nil {
					t.Fatal(err)
				}
				want = want.with(Changes{id: excluded})
			case 2, 3:
				if older.call(t, id, excluded) {
					want = want.with(Changes{id: excluded})
				}
			case 4: // a process is replaced
				records[0].locks.Close()
				records[0] = openShared(t, path)
			}
			for i, r := range records {
				if _, err := r.Read(); err != nil && err != ErrNone {
					t.Fatal(err)
				}
				if r.Stale() {
					if err := r.Update(nil); err != nil {
						t.Fatal(err)
					}
				}
				if got := r.State().Excluded; !slices.Equal(got, want.Excluded) {
					t.Fatalf("seed %d, step %d, record %d: got %v, expected %v", seed, step, i, got, want.Excluded)
				}
			}
		}
	}
}

// TestConcurrentUpdatesAreKept guards against updates of several processes that overwrite each other.
func TestConcurrentUpdatesAreKept(t *testing.T) {
	path := Path(t.TempDir(), "n0")
	var processes sync.WaitGroup
	const count, updates = 4, 10
	for i := range count {
		r := openShared(t, path)
		processes.Go(func() {
			for n := range updates {
				if err := r.Update(Changes{fmt.Sprintf("s-%04x%04x", i, n): true}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	processes.Wait()
	state, err := Load(path)
	if err != nil || len(state.Excluded) != count*updates || state.Revision != count*updates {
		t.Errorf("got %d exclusions at revision %d, %v; expected %d", len(state.Excluded), state.Revision, err, count*updates)
	}
}

// TestEmptyRecord guards against a file without exclusions whose list is null, which older builds never write.
func TestEmptyRecord(t *testing.T) {
	path := Path(t.TempDir(), "n0")
	r := openShared(t, path)
	for _, excluded := range []bool{true, false} {
		if err := r.Update(Changes{"s-00000001": excluded}); err != nil {
			t.Fatal(err)
		}
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != `{"excluded":[],"revision":2}` {
		t.Errorf("got %s, %v", text, err)
	}
}

// TestRecordReplacesWhatCannotBeRead guards against a file that is removed or corrupt while a process runs, so that the next one
// would find no exclusions.
func TestRecordReplacesWhatCannotBeRead(t *testing.T) {
	path := Path(t.TempDir(), "n0")
	r := openShared(t, path)
	if err := r.Update(Changes{"s-00000001": true}); err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func() error{
		"removed": func() error { return os.Remove(path) },
		"corrupt": func() error { return os.WriteFile(path, []byte(`{"excluded":["s-1"`), 0o600) },
	} {
		if err := damage(); err != nil {
			t.Fatal(err)
		}
		if _, err := r.Read(); err == nil || !r.Stale() {
			t.Fatalf("%s: got error %v, stale %v; expected an error and a stale file", name, err, r.Stale())
		}
		if err := r.Update(nil); err != nil {
			t.Fatal(err)
		}
		if state, err := Load(path); err != nil || !slices.Equal(state.Excluded, []string{"s-00000001"}) {
			t.Errorf("%s: got %+v, %v after the update", name, state, err)
		}
	}
}

// TestUpdateNeedsToReadTheRecord guards against a file that is overwritten, with the changes of other processes in it, because it
// could not be read for a moment, as when no descriptor is free. A link to itself can't be opened, but can be replaced.
func TestUpdateNeedsToReadTheRecord(t *testing.T) {
	path := Path(t.TempDir(), "n0")
	r, other := openShared(t, path), openShared(t, path)
	if err := r.Update(Changes{"s-00000001": true}); err != nil {
		t.Fatal(err)
	}
	if err := other.Update(Changes{"s-00000002": true}); err != nil {
		t.Fatal(err)
	}
	os.Rename(path, path+".kept")
	os.Symlink(path, path)
	if err := r.Update(Changes{"s-00000003": true}); err == nil || r.Stale() {
		t.Errorf("got error %v, stale %v; expected an error, and nothing to write", err, r.Stale())
	}
	os.Rename(path+".kept", path)
	if err := r.Update(Changes{"s-00000003": true}); err != nil {
		t.Fatal(err)
	}
	if got := r.State().Excluded; len(got) != 3 {
		t.Errorf("got %v, expected all three servers", got)
	}
}

// TestGoldenSharedRecord freezes the form of a file that a process of this build writes. A process of an older build reads the
// exclusions and skips the other keys.
func TestGoldenSharedRecord(t *testing.T) {
	want := State{Excluded: []string{"s-00000009", "s-5be2a07c"}, Revision: 7, OlderView: []string{"s-5be2a07c"}}
	golden.Filled(t, want)
	path := Path(t.TempDir(), "n7")
	if err := Save(path, want); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "shared.json", text)
	if got, err := decode(golden.Read(t, "shared.json")); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; expected %+v", got, err, want)
	}
	var older struct {
		Excluded []string `json:"excluded"`
	}
	if err := json.Unmarshal(text, &older); err != nil || !slices.Equal(older.Excluded, want.Excluded) {
		t.Errorf("an older build reads %+v, %v", older, err)
	}
}
