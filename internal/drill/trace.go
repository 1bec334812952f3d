package drill

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// traces collects what gateways log of single requests at the debug level, so that a violation can be explained by its report alone.
type traces struct {
	mu    sync.Mutex
	lines map[string][]string // by the request's id
}

// add takes a line of a gateway's log.
func (t *traces) add(gateway, line string) {
	if !strings.Contains(line, `"request":`) {
		return
	}
	var v struct {
		Msg, Request, Address string
		TS                    float64
	}
	if json.Unmarshal([]byte(line), &v) != nil || v.Request == "" {
		return
	}
	at := formatClock(time.Unix(0, int64(v.TS*1e9)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lines == nil {
		t.lines = map[string][]string{}
	}
	t.lines[v.Request] = append(t.lines[v.Request], strings.TrimSpace(fmt.Sprintf("%s %s: %s %s", at, gateway, v.Msg, v.Address)))
}

// forRequest returns what was logged of a request, each line indented; empty: nothing.
func (t *traces) forRequest(requestID string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for _, line := range t.lines[requestID] {
		b.WriteString("\n    " + line)
	}
	return b.String()
}
