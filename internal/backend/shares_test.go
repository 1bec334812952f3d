package backend

import (
	"math/rand/v2"
	"testing"
)

// TestClientsWithFewConnectionsAreGrantedFirst guards against a client whose one attempt waits behind all those of a client that holds most
// connections, and times out. A hundred times a connection becomes free, and one client waits for as many as it can.
func TestClientsWithFewConnectionsAreGrantedFirst(t *testing.T) {
	const flooding, usual, connections, attempts, rounds = 1, 2, 10, 500, 100
	s := newConnectionShares()
	for range connections {
		s.take(flooding)
	}
	for range attempts {
		s.wait(flooding)
	}
	for round := range rounds {
		w := s.wait(usual)
		s.giveBack(flooding)
		s.grant()
		select {
		case <-w.granted:
		default:
			t.Fatalf("round %d: the connection was granted to the client that holds %d", round, connections)
		}
		s.giveBack(usual)
		s.grant()
	}
}

// TestConnectionSharesInAnyOrder checks, for random calls, that each connection goes to a waiting client that holds the fewest, that the
// attempts of a client are granted in their order, and that nothing is kept of clients that neither hold nor wait.
func TestConnectionSharesInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newConnectionShares()
		held := map[uint64]int{}
		waits := map[uint64][]*connectionWait{}
		for range 2000 {
			client := rng.Uint64N(6)
			switch rng.IntN(4) {
			case 0:
				waits[client] = append(waits[client], s.wait(client))
			case 1:
				if n := len(waits[client]); n > 0 {
					i := rng.IntN(n)
					s.leave(waits[client][i])
					waits[client] = append(waits[client][:i:i], waits[client][i+1:]...)
				}
			case 2:
				if held[client] > 0 {
					held[client]--
					s.giveBack(client)
				}
			case 3:
				checkGrant(t, s, held, waits)
			}
		}
		for client := range uint64(6) {
			for _, w := range waits[client] {
				s.leave(w)
			}
			for range held[client] {
				s.giveBack(client)
			}
		}
		if len(s.clients) > 0 || s.anyWaiting() {
			t.Fatalf("seed %d: %d clients remain", seed, len(s.clients))
		}
	}
}

// checkGrant grants a connection and checks to which attempt it goes.
func checkGrant(t *testing.T, s *connectionShares, held map[uint64]int, waits map[uint64][]*connectionWait) {
	t.Helper()
	fewest := -1
	for client, w := range waits {
		if len(w) > 0 && (fewest < 0 || held[client] < fewest) {
			fewest = held[client]
		}
	}
	if granted := s.grant(); granted != (fewest >= 0) {
		t.Fatalf("granted is %v, and the fewest connections of a waiting client are %d", granted, fewest)
	}
	for client, w := range waits {
		if len(w) == 0 {
			continue
		}
		select {
		case <-w[0].granted:
			if held[client] != fewest {
				t.Fatalf("a client with %d connections was granted one; another has %d", held[client], fewest)
			}
			held[client]++
			waits[client] = w[1:]
		default:
		}
	}
}
