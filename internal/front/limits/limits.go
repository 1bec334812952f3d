// Package limits carries out the RESP commands on limits, LIMIT.GET and LIMIT.ADJUST. It passes other commands to package platform, so
// that a session can mix them.
package limits

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/resp"
)

// Commands implements front.Commands for commands on limits and for the commands of the platform.
type Commands struct {
	*platform.Commands
}

// Do implements front.Commands.
func (c *Commands) Do(readAt time.Time, cmd resp.Command, s *front.Slot) {
	switch string(bytes.ToUpper(cmd[0])) {
	case "LIMIT.GET":
		c.handleRequest(readAt, cmd, core.KindQueryLimit, s)
	case "LIMIT.ADJUST":
		c.handleRequest(readAt, cmd, core.KindAdjustLimit, s)
	default:
		c.Commands.Do(readAt, cmd, s)
	}
}

// handleRequest parses a request and submits it to the planner. It answers an invalid command with an error.
func (c *Commands) handleRequest(readAt time.Time, cmd resp.Command, kind core.RequestKind, s *front.Slot) {
	r, err := c.parse(cmd, kind)
	if err != nil {
		s.RejectInvalid(err.Error())
		return
	}
	r.ReceivedAt = readAt
	c.Submit(r, s, appendAnswer)
}

// parse reads LIMIT.GET CUSTOMER ARGUMENTS or LIMIT.ADJUST CUSTOMER UNITS ARGUMENTS. The texts of its errors are sent to the client.
func (c *Commands) parse(cmd resp.Command, kind core.RequestKind) (*core.Request, error) {
	length := 3
	if kind == core.KindAdjustLimit {
		length = 4
	}
	if len(cmd) != length {
		return nil, errors.New("wrong number of arguments")
	}
	r := &core.Request{Kind: kind}
	var err error
	if r.Customer, err = platform.ParseCustomer(cmd[1]); err != nil {
		return nil, err
	}
	if _, err = c.ParseArguments(cmd[length-1], r); err != nil {
		return nil, err
	}
	plan := c.Settings.Plans[r.Plan]
	if plan.Rate <= 0 {
		return nil, errors.New("t: this plan has no limit")
	}
	r.Units = 0
	if kind == core.KindAdjustLimit {
		if r.Units, err = adjustment(cmd[2], plan.Burst); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// adjustment parses the units to take, or to return if they are negative. The amount is at most the burst of the plan, and not 0.
func adjustment(text []byte, burst float64) (float64, error) {
	units, err := strconv.ParseFloat(string(text), 64)
	if err != nil || units == 0 || !(units >= -burst && units <= burst) {
		return 0, fmt.Errorf("units: %.32q is not a number from %v to %v, 0 excepted", text, -burst, burst)
	}
	return units, nil
}

// appendAnswer appends an encoded answer. The answer to a query holds the limit, the remaining units, and the milliseconds until more
// units are available. The answer to an adjustment holds the units that were taken, which are negative if units were returned.
func appendAnswer(b []byte, a core.Answer) []byte {
	switch {
	case a.Result == core.ResultFailed:
		return resp.AppendError(b, "ERR no exact answer in time")
	case a.Result == core.ResultRejected:
		return platform.AppendAnswer(b, a)
	case a.Limit == nil:
		return resp.AppendNumber(b, a.Units)
	}
	b = resp.AppendNumber(resp.AppendArray(b, 3), a.Limit.Limit)
	b = resp.AppendNumber(b, a.Limit.Remaining)
	return resp.AppendInt(b, platform.CeilMilliseconds(time.Duration(a.Limit.ReplenishedAfter)))
}
