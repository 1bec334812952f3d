package drill

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Bounds of the commands that the drill sends as an operator.
const (
	commandTimeout = 10 * time.Second // timeout of other commands
	freezeTimeout  = 15 * time.Second // timeout of freeze and thaw
	adminTimeout   = time.Second      // timeout of admin commands
	maxAnswerSize  = 4096             // bytes that are read of an answer
)

// command sends an operator's command to a gateway. If the gateway refuses it, the answer is added to the timeline and returned
// as an error.
func (c *cluster) command(g *gateway, verb string, form url.Values) error {
	text, ok, err := g.post(verb, form, commandTimeout)
	if err != nil {
		return err
	}
	if !ok {
		c.record("%s: %s: %s", g.name, verb, text)
		return errors.New(text)
	}
	return nil
}

// sendCommand sends freeze or thaw to a gateway in the background, and adds the answer to the timeline. It does nothing without
// the fleet view, or if g is nil.
func (c *cluster) sendCommand(g *gateway, verb, why string) {
	if g == nil || !c.coordinated() {
		return
	}
	c.background.Go(func() {
		sentAt := time.Now()
		text, _, err := g.post(verb, url.Values{"by": {"drill"}, "why": {why}}, freezeTimeout)
		if err != nil {
			c.record("%s: %s: %v", g.name, verb, err)
			return
		}
		c.record("%s: %s: %s after %v", g.name, verb, text, time.Since(sentAt).Round(time.Millisecond))
	})
}

// post sends an operator's command to a gateway. ok is true if the gateway accepted it.
func (g *gateway) post(verb string, form url.Values, timeout time.Duration) (text string, ok bool, err error) {
	client := http.Client{Timeout: timeout}
	answer, err := client.PostForm("http://"+g.operatorAddress+"/fleet/"+verb, form)
	if err != nil {
		return "", false, err
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerSize))
	return strings.TrimSpace(string(body)), answer.StatusCode == http.StatusOK, nil
}

// sendAdminLine sends a line to a gateway's admin address. It returns an error unless the answer begins with YES.
func sendAdminLine(address, line string) error {
	c, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	fmt.Fprintln(c, line)
	answer := make([]byte, 512)
	n, err := c.Read(answer)
	if err == nil && !strings.HasPrefix(string(answer[:n]), "YES") {
		err = fmt.Errorf("%s", answer[:n])
	}
	return err
}
