// Package forward is the thin forwarder: it accepts client sessions and forwards each command to a planner of its
// customer's set. It makes no quota decisions.
//
// commands.go has the commands of a session and the rule on attempts, planners.go the planners and their selection, link.go
// the connections to planners, call.go the answers to clients and the postings to the ledger.
package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/ledger"
	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
)

// deadlineGrace is the extra time to wait for an answer after a command's deadline, so that the planner's own answer at the
// deadline arrives first.
const deadlineGrace = 100 * time.Millisecond

// maxUncheckedDelay is the time from the arrival of a command after which its client may have left unnoticed: a connection to a planner was
// opened for it, or for the commands before it.
const maxUncheckedDelay = 20 * time.Millisecond

// Commands forwards the commands of one client session. It owns a connection to each planner that the session has used;
// Close closes them. It is not safe for concurrent use.
type Commands struct {
	Memory *memory.Account // account of long answers; nil if they are not limited. It is set before the first command

	planners *Planners
	recorder Recorder
	gateways int // number of gateways of the deployment
	log      *zap.Logger
	links    map[string]*link // open or lost links, by the planner's address
}

// New returns the forwarder of one client session. gateways is the number of gateways of the deployment.
func New(p *Planners, gateways int, r Recorder, log *zap.Logger) *Commands {
	return &Commands{planners: p, recorder: r, gateways: gateways, log: log, links: map[string]*link{}}
}

// Close implements io.Closer.
func (c *Commands) Close() error {
	for _, l := range c.links {
		l.close()
	}
	return nil
}

// parametersIndex maps each forwarded command to the index of its argument with the list of names and values.
var parametersIndex = map[string]int{"SVC.QUERY": 3, "SVC.SUBMIT": 3, "LIMIT.GET": 2, "LIMIT.ADJUST": 3}

// Do implements front.Commands.
func (c *Commands) Do(receivedAt time.Time, cmd resp.Command, s *front.Slot) {
	customer, r, err := c.parse(cmd)
	if err != nil {
		s.RejectInvalid(err.Error())
		return
	}
	c.forward(receivedAt, cmd, customer, r, s)
}

// parse reads the parts of a command that the forwarder needs: the customer, its set of planners, the deadline and the key of
// the ledger's row.
func (c *Commands) parse(cmd resp.Command) (dewhitch.CustomerID, *core.Request, error) {
	name := string(bytes.ToUpper(cmd[0]))
	index, known := parametersIndex[name]
	if !known {
		return 0, nil, fmt.Errorf("unknown command %.32q", cmd[0])
	}
	if len(cmd) <= index {
		return 0, nil, errors.New("wrong number of arguments")
	}
	customer, err := platform.ParseCustomer(cmd[1])
	if err != nil {
		return 0, nil, err
	}
	r := &core.Request{}
	class, plan, err := platform.ParseRoute(cmd[index], r)
	if err != nil {
		return 0, nil, err
	}
	r.LedgerKey = c.recorder.RowByName(uint64(customer), plan, class)
	switch name {
	case "LIMIT.GET":
		r.LedgerKey.Class = ledger.ClassQuery
		r.Units = 0
	case "LIMIT.ADJUST":
		r.LedgerKey.Class = ledger.ClassAdjust
		r.Units, _ = strconv.ParseFloat(string(cmd[2]), 64) // the planner rejects an invalid number
	}
	return customer, r, nil
}

// forward writes a command to the first planner of the customer's set that accepts all of its bytes. A planner to which the last
// byte was not sent has applied nothing, so the next one may be tried. Once written completely, a command is never sent again. Nothing is
// sent for a client that has left.
func (c *Commands) forward(receivedAt time.Time, cmd resp.Command, customer dewhitch.CustomerID, r *core.Request, s *front.Slot) {
	encoded := resp.AppendArray(nil, len(cmd))
	for _, arg := range cmd {
		encoded = resp.AppendBulk(encoded, arg)
	}
	pending := c.accept(r, s)
	for _, addr := range c.planners.Select(customer, r.Spread, r.FirstGateway, c.gateways) {
		l, err := c.linkTo(addr)
		if time.Since(receivedAt) > maxUncheckedDelay && s.ClientLeft() {
			pending.decide(ledger.PlanClientDeparted)
			return
		}
		if errors.Is(err, errShutDown) {
			break
		}
		if err != nil {
			c.log.Warn("a planner is unreachable", zap.String("planner", addr), zap.Error(err))
			continue
		}
		remaining := time.Until(receivedAt.Add(r.Timeout + deadlineGrace))
		if remaining <= 0 {
			break
		}
		if l.send(encoded, pending, remaining) {
			return
		}
	}
	pending.answer(ledger.PlanFailedExhausted, resp.AppendError(nil, "ERR no planner of this customer's set can be reached"))
}

// linkTo returns the session's link to a planner, and connects if there is none or it was lost. It fails with errShutDown or
// with the error of the dial.
func (c *Commands) linkTo(addr string) (*link, error) {
	if l := c.links[addr]; l != nil && !l.lost.Load() {
		return l, nil
	}
	conn, err := dialPlanner(addr)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, log: c.log, addr: addr, memory: c.Memory}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if !c.planners.register(l) {
		l.close()
		return nil, errShutDown
	}
	c.links[addr] = l
	go func() {
		l.read()
		c.planners.unregister(l)
	}()
	return l, nil
}
