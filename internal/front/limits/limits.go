// Package limits is the front for RESP commands on limits: LIMIT.GET and LIMIT.ADJUST, beside the platform's
// commands, so that queries can stand between bookings.
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

// Commands carries out the commands of this front.
type Commands struct {
	*platform.Commands
}

// Do implements front.Commands.
func (c *Commands) Do(came time.Time, cmd resp.Command, s *front.Slot) {
	switch string(bytes.ToUpper(cmd[0])) {
	case "LIMIT.GET":
		c.take(came, cmd, core.KindQueryLimit, s)
	case "LIMIT.ADJUST":
		c.take(came, cmd, core.KindAdjustLimit, s)
	default:
		c.Commands.Do(came, cmd, s)
	}
}

func (c *Commands) take(came time.Time, cmd resp.Command, kind core.RequestKind, s *front.Slot) {
	r, err := c.decode(cmd, kind)
	if err != nil {
		s.Reject(err.Error())
		return
	}
	r.ReceivedAt = came
	c.Hand(r, s, appendAnswer)
}

// decode reads CUSTOMER ARGUMENTS, or CUSTOMER UNITS ARGUMENTS for an adjustment.
func (c *Commands) decode(cmd resp.Command, kind core.RequestKind) (*core.Request, error) {
	words := 3
	if kind == core.KindAdjustLimit {
		words = 4
	}
	if len(cmd) != words {
		return nil, errors.New("wrong number of arguments")
	}
	r := &core.Request{Kind: kind}
	var err error
	if r.Customer, err = platform.Customer(cmd[1]); err != nil {
		return nil, err
	}
	if _, err = c.Arguments(cmd[words-1], r); err != nil {
		return nil, err
	}
	plan := c.Settings.Plans[r.Plan]
	if plan.Rate <= 0 {
		return nil, errors.New("t: this plan has no limit")
	}
	if r.Units = 0; kind == core.KindAdjustLimit {
		r.Units, err = strconv.ParseFloat(string(cmd[2]), 64)
		if most := plan.Burst; err != nil || r.Units == 0 || !(r.Units >= -most && r.Units <= most) {
			return nil, fmt.Errorf("units: %.32q is not a number from %v to %v, 0 excepted", cmd[2], -most, most)
		}
	}
	return r, nil
}

// appendAnswer words an answer: for a query, the limit, what is left, and the milliseconds until there is more;
// for an adjustment, the units that were booked, below 0 for those given back.
func appendAnswer(b []byte, a core.Answer) []byte {
	switch {
	case a.Result == core.ResultFailed:
		return resp.AppendFailure(b, "ERR no exact answer in time")
	case a.Result == core.ResultRejected:
		return platform.AppendAnswer(b, a)
	case a.Limit == nil:
		return resp.AppendNumber(b, a.Units)
	}
	b = resp.AppendNumber(resp.AppendArray(b, 3), a.Limit.Limit)
	b = resp.AppendNumber(b, a.Limit.Remaining)
	return resp.AppendInt(b, platform.Milliseconds(time.Duration(a.Limit.ReplenishedAfter)))
}
