package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/memberregistry"
	"dewhitch/internal/standin"
	"dewhitch/internal/standin/zookeeper"
)

// startMembers starts n members that know one another's addresses. stop ends them and waits for their end.
func startMembers(t *testing.T, n int, withStorage bool) (members []*Agent, stop func()) {
	return startMembersWithRegistry(t, n, withStorage, nil)
}

// startMembersWithRegistry starts n members. If reg is not nil, they find one another only through this registry.
func startMembersWithRegistry(t *testing.T, n int, withStorage bool, reg *zookeeper.Server) (members []*Agent, stop func()) {
	t.Helper()
	return startConfiguredMembers(t, n, withStorage, reg, func(*Agent) {})
}

// startConfiguredMembers starts n members, and calls configure for each of them before it runs.
func startConfiguredMembers(t *testing.T, n int, withStorage bool, reg *zookeeper.Server, configure func(*Agent)) (members []*Agent, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	peers := map[string]string{}
	var voters []string
	for i := range n {
		name := fmt.Sprintf("g%d", i)
		peers[name] = standin.OwnAddr()
		if len(voters) < 3 {
			voters = append(voters, name)
		}
	}
	for i := range n {
		name := fmt.Sprintf("g%d", i)
		o := Options{Zones: evacuation.Defaults, Voters: voters, Lease: 2 * time.Second, StatusInterval: 200 * time.Millisecond, Log: zap.NewNop(),
			Gossip: gossip.Options{Fleet: "test", Name: name, Listen: peers[name], Peers: peers, Seeds: []string{"g0"},
				Metadata: gossip.Metadata{Zone: "a", Role: "gateway"}}}
		if withStorage {
			o.Dir = filepath.Join(t.TempDir(), name)
		}
		if reg != nil {
			o.Gossip.Peers, o.Gossip.Seeds = nil, nil
		}
		a, err := Open(o)
		if err != nil {
			t.Fatal(err)
		}
		if reg != nil {
			running.Go(func() {
				_ = memberregistry.Run(ctx, memberregistry.Options{Servers: []string{reg.Addr()}, Path: "/members/test", Session: 4 * time.Second, Name: name,
					Address: o.Gossip.Listen, Log: zap.NewNop()}, a.AddCandidates)
			})
		}
		configure(a)
		members = append(members, a)
		running.Go(func() { _ = a.Run(ctx) })
	}
	return members, func() { cancel(); running.Wait() }
}

// eventually waits until f returns true, and fails the test with the event's name after 30 seconds.
func eventually(t *testing.T, event string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(event, "did not happen")
		}
	}
}

// waitForGoroutines waits until all goroutines have ended: memberlist's probes outlive it by their timeout.
func waitForGoroutines(t *testing.T) {
	t.Helper()
	eventually(t, "the end of all goroutines", func() bool { return goleak.Find() == nil })
}

// waitUntilFresh waits until each member has a fresh view of all others, and follows the plan that names all voters.
// While the leader adds the voters one by one, the plan changes without a command.
func waitUntilFresh(t *testing.T, members []*Agent) {
	for _, a := range members {
		eventually(t, "the plan that names all voters", func() bool {
			voters := map[string]uint64{}
			err := a.call(func() {
				p := a.node.Plan()
				_, _ = p.Section("voters", &voters)
			})
			return err == nil && len(voters) == len(a.options.Voters)
		})
		eventually(t, "a fresh view", func() bool {
			s, err := a.Status()
			return err == nil && s.Quorum && len(s.Members) == len(members)
		})
	}
}

// Members that know no addresses find one another through the registry, and stay members when all their sessions with
// the registry expire.
func TestMembersFindOneAnotherByRegistry(t *testing.T) {
	defer waitForGoroutines(t)
	zk, err := zookeeper.New()
	if err != nil {
		t.Fatal(err)
	}
	defer zk.Close()
	members, stop := startMembersWithRegistry(t, 4, false, zk)
	defer stop()
	waitUntilFresh(t, members)
	// All sessions expire at the same time, as after a long outage of the registry. The members stay alive, and create their
	// nodes again.
	names, ownersBefore := []string{"g0", "g1", "g2", "g3"}, map[string]int64{}
	for _, n := range names {
		ownersBefore[n] = zk.Owner("/members/test/" + n)
		zk.Expire(ownersBefore[n])
	}
	for _, n := range names {
		eventually(t, "a new node of "+n, func() bool {
			now := zk.Owner("/members/test/" + n)
			return now != 0 && now != ownersBefore[n]
		})
	}
	for _, a := range members {
		s, err := a.Status()
		if err != nil || !s.Quorum || len(s.Members) != len(members) {
			t.Errorf("%s after the registry's sessions expired: got status %+v, error %v, expected a quorum and all members", s.Name, s, err)
		}
		for _, m := range s.Members {
			if m.State != "alive" {
				t.Errorf("%s has member %s as %s, expected alive", s.Name, m.Name, m.State)
			}
		}
	}
}

// Operators' commands change the plan at every member and are answered with YES. Invalid and unknown ones are answered
// with NO, or not found, and change nothing.
func TestOperatorCommands(t *testing.T) {
	defer waitForGoroutines(t)
	members, stop := startMembers(t, 4, true)
	defer stop()
	waitUntilFresh(t, members)
	mux := http.NewServeMux()
	members[3].Pages(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	post := func(verb string, form url.Values) (int, string) {
		r, err := http.PostForm(server.URL+"/fleet/"+verb, form)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		b := make([]byte, 4096)
		n, _ := r.Body.Read(b)
		return r.StatusCode, string(b[:n])
	}
	statusBefore, err := members[3].Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range []url.Values{{}, {"by": {"me"}}, {"why": {"so"}}, {"by": {strings.Repeat("x", 600)}, "why": {"so"}}} {
		if code, text := post("freeze", form); code != http.StatusConflict || !strings.HasPrefix(text, "NO ") {
			t.Errorf("freeze with the form %v: got %d %s, expected 409 NO", form, code, text)
		}
	}
	if code, _ := post("melt", url.Values{"by": {"me"}, "why": {"so"}}); code != http.StatusNotFound {
		t.Errorf("unknown command: got status %d, expected 404", code)
	}
	if s, _ := members[3].Status(); s.Epoch != statusBefore.Epoch {
		t.Errorf("rejected commands changed the plan from epoch %v to %v", statusBefore.Epoch, s.Epoch)
	}
	if code, text := post("freeze", url.Values{"by": {"me"}, "why": {"so"}}); code != http.StatusOK || !strings.HasPrefix(text, "YES ") {
		t.Fatalf("freeze: got %d %s, expected 200 YES", code, text)
	}
	for _, a := range members {
		eventually(t, "the freeze", func() bool {
			s, _ := a.Status()
			return s.Frozen != nil && s.Frozen.Reason == "so"
		})
	}
	eventually(t, "the acknowledgement by all members", func() bool {
		s, _ := members[0].Status()
		return len(s.Unacknowledged) == 0
	})
	r, err := http.Get(server.URL + "/fleet")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var s Status
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil || len(s.Members) != 4 || s.Leader == "" || s.Folder != "none" {
		t.Errorf("status page: got %+v, error %v, expected 4 members, a leader and no folder", s, err)
	}
}

// A voter that restarts with its storage keeps its identity and its plan. Storage that another process has open, or
// that is corrupt, is rejected.
func TestVoterStorageAcrossRestart(t *testing.T) {
	defer waitForGoroutines(t)
	members, stop := startMembers(t, 1, true)
	waitUntilFresh(t, members)
	if _, err := members[0].Submit(t.Context(), "freeze", fleet.EncodeNote("me", "so")); err != nil {
		t.Fatal(err)
	}
	options := members[0].options
	if _, err := Open(options); err == nil || !strings.Contains(err.Error(), "another process has the folder") {
		t.Errorf("storage that another process has open: got error %v, expected ErrLocked", err)
	}
	stop() // the test may read the node once its goroutine has ended
	identity := members[0].node.SelfStatus().Identity
	restarted, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	if s := restarted.node.SelfStatus(); s.Identity != identity {
		t.Errorf("got identity %x after the restart, expected %x as before", s.Identity, identity)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = restarted.Run(ctx) })
	eventually(t, "the adoption of the stored plan", func() bool {
		s, _ := restarted.Status()
		return s.Frozen != nil && s.Quorum
	})
	cancel()
	running.Wait()
	if err := os.WriteFile(filepath.Join(options.Dir, "fleet.db"), []byte("not what was stored"), 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(options); err == nil {
		t.Error("corrupt storage is accepted")
	}
	if _, err := restarted.Submit(t.Context(), "thaw", nil); !errors.Is(err, ErrEnded) {
		t.Errorf("Submit after the end of Run: got error %v, expected ErrEnded", err)
	}
}

// Gossip beyond loopback needs a keyring, and the keyring's file must be valid.
func TestKeyring(t *testing.T) {
	open := func(listen, keys string) error {
		path := ""
		if keys != "" {
			path = filepath.Join(t.TempDir(), "keys")
			if err := os.WriteFile(path, []byte(keys), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		g, err := gossip.Open(gossip.Options{Fleet: "test", Name: "g", Listen: listen, Keyring: path, Log: zap.NewNop(),
			Receive: func([]byte) {}, StateChanged: func(string, string) {}})
		if err == nil {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			g.Run(ctx)
		}
		return err
	}
	if err := open("0.0.0.0:7946", ""); err == nil || !strings.Contains(err.Error(), "keyring") {
		t.Errorf("listening beyond loopback without a keyring: got error %v, expected one about the keyring", err)
	}
	if err := open(standin.OwnAddr(), "not a key\n"); err == nil || !strings.Contains(err.Error(), ":1 is not base64") {
		t.Errorf("invalid keyring: got error %v, expected one that names line 1", err)
	}
	if err := open(standin.OwnAddr(), "MDEyMzQ1Njc4OWFiY2RlZg==\n"); err != nil {
		t.Error(err)
	}
}
