package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// goldenGateway accepts every call except those with the server s-2. It is ready until it is drained.
type goldenGateway struct{ drained bool }

func (g *goldenGateway) Ready() bool                     { return !g.drained }
func (g *goldenGateway) AppendTelemetry(b []byte) []byte { return append(b, `{"concurrent":3}`...) }
func (g *goldenGateway) Exclude(id string) error         { return g.known(id) }
func (g *goldenGateway) Include(id string) error         { return g.known(id) }
func (g *goldenGateway) Drain(on bool)                   { g.drained = on }
func (g *goldenGateway) known(id string) error {
	if id == "s-2" {
		return errors.New("a fault\nof two lines")
	}
	return nil
}

// TestGoldenCalls compares the answers to operators' calls, valid and invalid, with the golden file. Operators' scripts and the
// platform's readiness check read them.
func TestGoldenCalls(t *testing.T) {
	s := &Server{Gateway: &goldenGateway{}}
	var exchanges bytes.Buffer
	for _, line := range []string{"readyz", "telemetry", "exclude s-1", "exclude s-2", "include s-1", "include s-2", "evacuate",
		"readyz", "activate", "readyz", " READYZ \r", "", "exclude", "include s-1 s-2", "telemetry now", "reboot", "readyz\x01",
		"exclude " + strings.Repeat("x", 65), strings.Repeat("y", 255), strings.Repeat("z", 300)} {
		answer, err := callOverPipe(s, line)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		fmt.Fprintf(&exchanges, "> %q\n< %q\n", line+"\n", answer)
	}
	golden.Compare(t, "calls", exchanges.Bytes())
}

// callOverPipe sends one line over a new connection and returns the whole answer.
func callOverPipe(s *Server, line string) ([]byte, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		s.answer(server)
	}()
	go io.WriteString(client, line+"\n") // blocks if the line is too long, as the server does not read all of it
	return io.ReadAll(client)
}
