package snapshot_test

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	dw "dewhitch"
	"dewhitch/internal/snapshot"
)

// newImage returns an image with n customers and 10 servers. The variable numbers of customers are v or a multiple of it.
func newImage(n int, v float64) *snapshot.Image {
	m := &snapshot.Image{Node: "n1", Instances: 4, Self: 1, Zones: 2, Classes: []string{"query", "booking"},
		Plans: []snapshot.Plan{{Name: "fleet", Rate: 8, Burst: 16}, {Name: "basic", Rate: 4, Burst: 8}}}
	m.State = dw.State{At: 1e18, Latency: 0.05, IdleLatency: 0.04, MeanPriority: 2, ClassLatencyRatios: []float64{1, v + 1}, ZoneFailureShare: []float64{0, 0.5}}
	for i := range 10 {
		m.State.Servers = append(m.State.Servers, dw.ServerStatistics{Endpoint: dw.Endpoint{ID: dw.ServerID(i)},
			Latency: 0.1, Failures: []dw.FailureStatistics{{Count: 1}, {Count: 2}}})
	}
	for i := range n {
		m.State.Customers = append(m.State.Customers, dw.AccountState{ID: dw.CustomerID(rand.Uint64()), Plan: i % 2,
			Spread: 4, Assigned: true, Window: 4e9, Level: v, OwnRate: v, OthersRate: 1.7 * v, UpdatedAt: 1e18, LastTotalAt: 1e18 - 3e8,
			LastRequestAt: 1e18 - 7, WindowNumber: 12345678, WindowTotal: v, OwnInWindow: v / 3, WindowElapsed: 1.234})
	}
	return m
}

// TestRoundTrip guards against a snapshot that decodes to a state other than the encoded one, and against accepting a snapshot
// that is truncated or has a changed byte.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newImage(rapid.IntRange(0, 40).Draw(t, "customers"), rapid.Float64Range(0, 1e9).Draw(t, "v"))
		g := snapshot.Generation{Incarnation: rapid.Uint64().Draw(t, "life"), Number: rapid.Uint64().Draw(t, "number")}
		b, err := snapshot.Encode([]byte("front"), g, m)
		if err != nil {
			t.Fatal(err)
		}
		b = b[len("front"):]
		g2, m2, err := snapshot.Decode(b)
		if err != nil || g2 != g || !reflect.DeepEqual(m2.State.Servers, m.State.Servers) ||
			fmt.Sprint(m2) != fmt.Sprint(m) {
			t.Fatalf("error %v, got generation %v\n got %v\nwant %v", err, g2, m2, m)
		}
		// A snapshot that is cut anywhere, or has any byte changed, is rejected.
		if cut := rapid.IntRange(1, len(b)-1).Draw(t, "cut"); errors.Is(decode(b[:cut]), nil) {
			t.Fatal("a truncated snapshot was accepted")
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if decode(b) == nil {
			t.Fatal("a snapshot with a changed byte was accepted")
		}
	})
}

// decode returns the error of decoding b. It panics if Decode returns neither an image nor an error.
func decode(b []byte) error {
	_, m, err := snapshot.Decode(b)
	if err == nil && m == nil {
		panic("Decode returned neither an image nor an error")
	}
	return err
}

// TestFaultsAreReported checks the error for each kind of snapshot that can't be used.
func TestFaultsAreReported(t *testing.T) {
	b, err := snapshot.Encode(nil, snapshot.Generation{Incarnation: 1}, newImage(3, 1))
	if err != nil {
		t.Fatal(err)
	}
	modified := func(f func([]byte)) []byte {
		c := append([]byte(nil), b...)
		f(c)
		return c
	}
	for _, v := range []struct {
		text []byte
		want error
	}{{nil, snapshot.ErrEmpty}, {b[:20], snapshot.ErrTorn}, {b[:len(b)-1], snapshot.ErrTorn},
		{modified(func(c []byte) { c[7] = 9 }), snapshot.ErrVersion}, {modified(func(c []byte) { c[0] = 'D' }), snapshot.ErrBroken},
		{modified(func(c []byte) { binary.BigEndian.PutUint32(c[8:], math.MaxUint32) }), snapshot.ErrTorn},
		{modified(func(c []byte) { c[len(c)-1]++ }), snapshot.ErrTorn}} {
		if err := decode(v.text); !errors.Is(err, v.want) {
			t.Errorf("got error %v, want %v", err, v.want)
		}
	}
}

// TestLengthIsNotBelieved guards against excessive memory use: a header that announces a length far greater than the snapshot
// must not lead to an allocation of that length.
func TestLengthIsNotBelieved(t *testing.T) {
	m := newImage(0, 1)
	b, _ := snapshot.Encode(nil, snapshot.Generation{Incarnation: 1}, m)
	allocations := testing.AllocsPerRun(10, func() {
		c := append([]byte(nil), b...)
		binary.BigEndian.PutUint32(c[8:], math.MaxUint32)
		decode(c)
	})
	if allocations > 20 {
		t.Errorf("got %v allocations, want at most 20", allocations)
	}
}

// TestFit guards against state that is assigned to the wrong class or plan after a change of the settings, and against state of
// another deployment or with invalid numbers that is accepted.
func TestFit(t *testing.T) {
	current := func() *snapshot.Image { m := newImage(0, 0); m.State = dw.State{}; return m }
	exported := newImage(10, 1)
	reloaded := current()
	// One class is dropped and one is new, in another order. One plan is changed.
	reloaded.Classes = []string{"booking", "inquiry"}
	reloaded.Plans = []snapshot.Plan{{Name: "basic", Rate: 4, Burst: 8}, {Name: "fleet", Rate: 9, Burst: 16}}
	state, dropped, err := snapshot.Fit(exported, reloaded)
	if err != nil || dropped != 6 || len(state.Customers) != 5 || state.Customers[0].Plan != 0 {
		t.Fatalf("got error %v, %d dropped, want 6; want 5 remaining customers, got %+v", err, dropped, state)
	}
	if want := []float64{2, 1}; !reflect.DeepEqual(state.ClassLatencyRatios, want) || state.Servers[0].Failures[0].Count != 2 || state.Servers[0].Failures[1].Count != 0 {
		t.Fatalf("got latency ratios %v and first server %+v", state.ClassLatencyRatios, state.Servers[0])
	}
	for i, corrupt := range []func(m *snapshot.Image){func(m *snapshot.Image) { m.Node = "n2" }, func(m *snapshot.Image) { m.Instances++ },
		func(m *snapshot.Image) { m.State.Latency = 0 }, func(m *snapshot.Image) { m.State.ClassLatencyRatios = nil },
		func(m *snapshot.Image) { m.State.MeanPriority = math.NaN() }, func(m *snapshot.Image) { m.State.Customers[3].Plan = 2 },
		func(m *snapshot.Image) { m.State.Customers[3].Level = math.Inf(1) }, func(m *snapshot.Image) { m.State.ZoneFailureShare[1] = 1 },
		func(m *snapshot.Image) { m.State.Servers[3].Latency = -1 }} {
		m := newImage(10, 1)
		corrupt(m)
		if state, _, err := snapshot.Fit(m, current()); err == nil || state != nil {
			t.Errorf("corruption %d: the state was accepted", i)
		}
	}
}

// newWriter claims a new incarnation of n1 in the folder, as a process does at its start.
func newWriter(t *testing.T, dir string) *snapshot.Writer {
	t.Helper()
	f, err := snapshot.Latest(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	w, err := snapshot.Claim(dir, "n1", f.Generation)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// TestIncarnationsAndGenerations guards against processes that overwrite each other's snapshots. Processes that write at the same
// time write separate files, the newer incarnation wins whichever writes last, and an incomplete file is skipped in favour of
// the one before it.
func TestIncarnationsAndGenerations(t *testing.T) {
	dir := t.TempDir()
	if f, err := snapshot.Latest(dir, "n1"); err != nil || f.Image != nil || len(f.Rejected) > 0 {
		t.Fatal(f, err)
	}
	claim := func() *snapshot.Writer { return newWriter(t, dir) }
	write := func(w *snapshot.Writer, v float64) {
		if _, err := w.Write(newImage(5, v)); err != nil {
			t.Fatal(err)
		}
	}
	checkLatest := func(v float64, incarnation, number uint64) {
		t.Helper()
		f, err := snapshot.Latest(dir, "n1")
		if err != nil || f.Image == nil || f.Image.State.Customers[4].Level != v || f.Generation != (snapshot.Generation{Incarnation: incarnation, Number: number}) {
			t.Fatalf("unexpected newest snapshot: got %+v, error %v", f.Generation, err)
		}
	}
	first := claim()
	write(first, 1)
	write(first, 2)
	second, third := claim(), claim()
	checkLatest(2, 1, 2) // claimed files without content are skipped
	write(second, 3)
	write(first, 4)
	checkLatest(3, 2, 1)
	write(third, 5)
	checkLatest(5, 3, 1)
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	os.WriteFile(files[len(files)-1], []byte("dwsnap half"), 0o600)
	checkLatest(3, 2, 1)
	if f, _ := snapshot.Latest(dir, "n1"); len(f.Rejected) != 1 || !errors.Is(f.Rejected[0], snapshot.ErrTorn) {
		t.Fatal(f.Rejected)
	}
	fourth := claim()
	write(fourth, 6)
	checkLatest(6, 4, 1)
	if files, _ = filepath.Glob(filepath.Join(dir, "*")); len(files) != 3 {
		t.Errorf("got files %v, want those of incarnations 2, from which the fourth started, to 4", files)
	}
	if f, err := snapshot.Latest(dir, "n2"); f.Image != nil || err != nil {
		t.Error("Latest found a snapshot of another node")
	}
	// Claim fails in a folder that can't be written to.
	if _, err := snapshot.Claim(filepath.Join(dir, "none"), "n1", snapshot.Generation{}); err == nil {
		t.Error("Claim succeeded in a folder that does not exist")
	}
}

// TestWriterChild is the process that TestKilledWriter kills: it writes snapshots and prints the generation of each once it is
// on the disk.
func TestWriterChild(t *testing.T) {
	dir := os.Getenv("SNAPSHOT_CHILD")
	if dir == "" {
		t.Skip("runs only as a child of TestKilledWriter")
	}
	w := newWriter(t, dir)
	for i := 1; ; i++ {
		if _, err := w.Write(newImage(200+i%700, float64(w.LastGeneration().Incarnation*1e6+uint64(i)))); err != nil {
			t.Fatal(err)
		}
		fmt.Printf("wrote %d %d\n", w.LastGeneration().Incarnation, w.LastGeneration().Number)
	}
}

// TestKilledWriter guards against a snapshot that is incomplete or mixed after a crash. It kills a writer process 50 times at a
// random time. The snapshot found then must be complete, of one write, and at least as new as the last one that the writer
// reported.
func TestKilledWriter(t *testing.T) {
	const seed = 20261201
	rng := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	dir := t.TempDir()
	for kill := range 50 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestWriterChild$", "-test.timeout=1m")
		cmd.Env = append(os.Environ(), "SNAPSHOT_CHILD="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var reported snapshot.Generation
		lines := bufio.NewScanner(out)
		after := 1 + rng.IntN(12)
		for lines.Scan() {
			if n, _ := fmt.Sscanf(lines.Text(), "wrote %d %d", &reported.Incarnation, &reported.Number); n == 2 && reported.Number == uint64(after) {
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
				cmd.Process.Kill()
			}
		}
		cmd.Wait()
		f, err := snapshot.Latest(dir, "n1")
		if err != nil || f.Image == nil || len(f.Rejected) > 0 {
			t.Fatalf("kill %d: Latest returned %+v, error %v", kill, f, err)
		}
		if reported.Number < uint64(after) || f.Incarnation != reported.Incarnation || f.Number < reported.Number {
			t.Fatalf("kill %d: found %+v, but the writer reported %+v as written", kill, f.Generation, reported)
		}
		want := float64(f.Incarnation*1e6 + f.Number)
		for _, c := range f.Image.State.Customers {
			if c.Level != want || c.WindowTotal != want {
				t.Fatalf("kill %d: state of several writes: got level %v, want %v", kill, c.Level, want)
			}
		}
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*.snapshot")); len(files) > 3 {
		t.Errorf("got more than 3 files: %s", strings.Join(files, " "))
	}
}

// FuzzDecode guards against a snapshot with a valid header that makes Decode, Fit or the module panic or allocate without bound.
func FuzzDecode(f *testing.F) {
	b, _ := snapshot.Encode(nil, snapshot.Generation{Incarnation: 1}, newImage(3, 1))
	f.Add(b[36:])
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	now := newImage(0, 0)
	f.Fuzz(func(t *testing.T, body []byte) {
		// The header is valid, so the checks of the body are tested.
		_, m, err := snapshot.Decode(snapshot.Seal(body))
		if err != nil {
			return
		}
		if state, _, err := snapshot.Fit(m, now); err == nil {
			g, err := dw.New(dw.Settings{Instances: 4, Self: 1, Zones: 2, MaxAttempts: 1, Classes: twoClasses(), Plans: []dw.Plan{{}, {}}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			g.Import(state.At+1e6, state)
			g.Handle(state.At+2e6, dw.EndpointList{Kind: dw.ListFull, Servers: []dw.Endpoint{{ID: 1}}}, nil)
			g.Handle(state.At+3e6, dw.Arrival{ID: "a", Remaining: 1e9, Units: 1, Spread: 1}, nil)
		}
	})
}

// twoClasses returns the settings of two classes that differ in nothing.
func twoClasses() []dw.Class {
	return []dw.Class{{Objective: 1e9, Deadline: 1e9}, {Objective: 1e9, Deadline: 1e9}}
}

func BenchmarkEncode(b *testing.B) {
	m := newImage(10000, 123.456)
	var buf []byte
	for b.Loop() {
		buf, _ = snapshot.Encode(buf[:0], snapshot.Generation{Incarnation: 1}, m)
	}
	b.ReportMetric(float64(len(buf)), "bytes")
}

func BenchmarkWrite(b *testing.B) {
	m := newImage(10000, 123.456)
	w, err := snapshot.Claim(b.TempDir(), "n1", snapshot.Generation{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := w.Write(m); err != nil {
			b.Fatal(err)
		}
	}
}
