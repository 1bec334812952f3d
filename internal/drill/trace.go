package drill

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// traces collects the debug log lines of gateways about individual requests, so that the report of a violation contains them. It
// may be used by several goroutines.
type traces struct {
	mu    sync.Mutex
	lines map[string][]string // log lines by request ID
}

// add keeps a line of a gateway's log if it is about a request.
func (t *traces) add(gateway, line string) {
	if !strings.Contains(line, `"request":`) {
		return
	}
	var entry struct {
		Msg, Request, Address string
		TS                    float64
	}
	if json.Unmarshal([]byte(line), &entry) != nil || entry.Request == "" {
		return
	}
	at := formatClock(time.Unix(0, int64(entry.TS*1e9)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lines == nil {
		t.lines = map[string][]string{}
	}
	t.lines[entry.Request] = append(t.lines[entry.Request], strings.TrimSpace(fmt.Sprintf("%s %s: %s %s", at, gateway, entry.Msg, entry.Address)))
}

// forRequest returns the log lines about a request, each indented on a line of its own, or an empty string if there are none.
func (t *traces) forRequest(requestID string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for _, line := range t.lines[requestID] {
		b.WriteString("\n    " + line)
	}
	return b.String()
}
