package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// Bounds of what a client may send.
const (
	maxTimeout    = time.Hour
	customerCount = 1 << 33 // all customers are below
	maxNameBytes  = 64
	maxKeyBytes   = 64
	maxNumber     = 1e6 // of units, spread and first
)

var errArgumentCount = errors.New("wrong number of arguments")

// parse reads SVC.QUERY or SVC.SUBMIT CUSTOMER NAME ARGUMENTS [BODY]. The texts of its errors are answered to the client.
func (c *Commands) parse(cmd resp.Command, query bool) (*core.Request, error) {
	if len(cmd) != 4 && len(cmd) != 5 {
		return nil, errArgumentCount
	}
	r := &core.Request{}
	var err error
	if r.Customer, err = ParseCustomer(cmd[1]); err != nil {
		return nil, err
	}
	if len(cmd[2]) == 0 || len(cmd[2]) > maxNameBytes {
		return nil, errors.New("id: not of 1 to 64 bytes")
	}
	r.Message.Name = string(cmd[2])
	if len(cmd) == 5 {
		r.Message.Body = cmd[4]
	}
	class, err := c.ParseArguments(cmd[3], r)
	if err != nil {
		return nil, err
	}
	if err := c.setClass(r, class, query); err != nil {
		return nil, err
	}
	return r, nil
}

// setClass sets the class of a request, by its name in the table in force. The class must be for the command that the request
// came by, and the request must have an idempotency key if the class needs one.
func (c *Commands) setClass(r *core.Request, name string, query bool) error {
	entry, known := c.Classes().Find(name)
	if !known || entry.Class < 0 {
		return fmt.Errorf("c: no class %.32q", name)
	}
	r.Class = entry.Class
	r.ClassName = entry.Name
	r.IdempotentQuery = entry.Effect == dw.Idempotent
	if query != r.IdempotentQuery {
		return fmt.Errorf("c: class %q is for the other command", name)
	}
	if entry.Effect == dw.IdempotentByKey && r.Message.Key == "" {
		return errors.New("k: missing")
	}
	return nil
}

// ParseCustomer reads a customer: 16 hex digits, in lower case.
func ParseCustomer(text []byte) (dw.CustomerID, error) {
	id, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 || bytes.ContainsAny(text, "ABCDEF") {
		return 0, fmt.Errorf("customer: %.32q is not 16 hex digits", text)
	}
	if id >= customerCount {
		return 0, fmt.Errorf("customer: %.32q is none", text)
	}
	return dw.CustomerID(id), nil
}

// ParseArguments reads the list of names and values into r, and returns the class's name, which may be empty. Units and gateways out of
// range are refused here, as they would go into the customer's account, which its other requests share.
func (c *Commands) ParseArguments(text []byte, r *core.Request) (class string, err error) {
	class, plan, err := parseArguments(text, r)
	if err != nil {
		return "", err
	}
	if r.Plan = slices.Index(c.Names.Plans, plan); r.Plan < 0 {
		return "", fmt.Errorf("t: no plan %.32q", plan)
	}
	switch settings := c.Settings; {
	case r.Units <= 0 || settings.MaxUnits > 0 && r.Units > settings.MaxUnits:
		return "", fmt.Errorf("units: not above 0 and up to %v", settings.MaxUnits)
	case r.Spread > settings.Instances:
		return "", fmt.Errorf("spread: over %d", settings.Instances)
	case r.FirstGateway >= settings.Instances:
		return "", fmt.Errorf("first: not below %d", settings.Instances)
	}
	return class, nil
}

// ParseRoute reads from a list what a forwarder needs: the customer's gateways, the timeout, and the names for its ledger.
func ParseRoute(text []byte, r *core.Request) (class, plan string, err error) {
	return parseArguments(text, r)
}

// parseArguments reads a list of names and values, NAME=VALUE[,NAME=VALUE]...; unknown names are ignored.
func parseArguments(text []byte, r *core.Request) (class, plan string, err error) {
	r.Units = 1
	r.Spread = 0
	r.FirstGateway = -1
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			class = string(value)
		case "t":
			plan = string(value)
		default:
			if err := setArgument(r, string(name), string(value)); err != nil {
				return "", "", err
			}
		}
	}
	switch {
	case r.Timeout <= 0:
		return "", "", errors.New("d: missing")
	case r.Spread == 0:
		return "", "", errors.New("spread: missing")
	case r.FirstGateway < 0:
		return "", "", errors.New("first: missing")
	}
	return class, plan, nil
}

// setArgument sets the field of a request that an argument names.
func setArgument(r *core.Request, name, value string) (err error) {
	switch name {
	case "k":
		r.Message.Key = value
		if len(value) > maxKeyBytes {
			return errors.New("k: over 64 bytes")
		}
	case "r":
		r.Repeat = value == "1"
	case "d":
		milliseconds, err := number(name, value, 0, maxTimeout.Seconds()*1e3)
		if err != nil {
			return err
		}
		r.Timeout = time.Duration(milliseconds * 1e6)
	case "units":
		r.Units, err = number(name, value, 0, maxNumber)
	case "spread":
		r.Spread, err = wholeNumber(name, value, 1, maxNumber)
	case "first":
		r.FirstGateway, err = wholeNumber(name, value, 0, maxNumber)
	}
	return err
}

// number reads a decimal number of digits and a point; other forms that a parser accepts are refused.
func number(name, text string, lowest, highest float64) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(v >= lowest && v <= highest) {
		return 0, fmt.Errorf("%s: %.32q is not a number from %v to %v", name, text, lowest, highest)
	}
	return v, nil
}

// wholeNumber reads a number without a fraction, which would be lost on the way to the backend.
func wholeNumber(name, text string, lowest, highest float64) (int, error) {
	v, err := number(name, text, lowest, highest)
	if err == nil && v != math.Trunc(v) {
		err = fmt.Errorf("%s: %.32q is not a whole number", name, text)
	}
	return int(v), err
}
