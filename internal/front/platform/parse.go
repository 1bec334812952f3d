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

// Bounds on the arguments that a client may send.
const (
	maxTimeout    = time.Hour // maximum timeout of a request
	customerCount = 1 << 33   // all customer IDs are below this number
	maxNameBytes  = 64        // maximum length of the name of a request, in bytes
	maxKeyBytes   = 64        // maximum length of an idempotency key, in bytes
	maxNames      = 256       // maximum number of names in a list of names and values
	maxNumber     = 1e6       // maximum value of the arguments units, spread and first
)

var errArgumentCount = errors.New("wrong number of arguments")

// parse reads SVC.QUERY or SVC.SUBMIT CUSTOMER NAME ARGUMENTS [BODY]. The texts of its errors are sent to the client.
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

// setClass sets the class of a request by its name in the current class table. It returns an error if there is no such class, if
// the class is one of SVC.SUBMIT and the command is SVC.QUERY or the reverse, or if the class needs an idempotency key and the
// request has none.
func (c *Commands) setClass(r *core.Request, name string, query bool) error {
	entry, known := c.Classes().Find(name)
	if !known || entry.Class < 0 {
		return fmt.Errorf("c: no class %.32q", name)
	}
	r.Class = entry.Class
	r.ClassName = entry.Name
	r.IdempotentQuery = entry.Idempotency == dw.Idempotent
	if query != r.IdempotentQuery {
		return fmt.Errorf("c: class %q is for the other command", name)
	}
	if entry.Idempotency == dw.IdempotentByKey && r.Message.Key == "" {
		return errors.New("k: missing")
	}
	return nil
}

// ParseCustomer parses a customer ID, which has 16 hex digits in lower case.
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

// ParseArguments parses the list of names and values into r, and returns the name of the class, which may be empty. It returns an error
// for units and gateways out of range, because they would enter the customer's account, which the customer's other requests share.
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

// ParseRoute parses the part of a list of names and values that a forwarder needs. It sets the customer's gateways and the
// timeout in r, and returns the names of class and plan for the forwarder's ledger.
func ParseRoute(text []byte, r *core.Request) (class, plan string, err error) {
	return parseArguments(text, r)
}

// parseArguments parses a list of names and values, NAME=VALUE[,NAME=VALUE]..., into r. It ignores unknown names.
func parseArguments(text []byte, r *core.Request) (class, plan string, err error) {
	r.Units = 1
	r.Spread = 0
	r.FirstGateway = -1
	names := 0
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		if names++; names > maxNames {
			return "", "", fmt.Errorf("arguments: over %d names", maxNames)
		}
		name, value, _ := bytes.Cut(pair, []byte("="))
		switch string(name) {
		case "c":
			class = string(value)
		case "t":
			plan = string(value)
		case "k", "r", "d", "units", "spread", "first":
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

// setArgument parses the value of an argument into the field of r to which it belongs.
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

// number parses a decimal number from lowest to highest that consists of digits and a point. It rejects other forms that strconv
// accepts, such as exponents.
func number(name, text string, lowest, highest float64) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(v >= lowest && v <= highest) {
		return 0, fmt.Errorf("%s: %.32q is not a number from %v to %v", name, text, lowest, highest)
	}
	return v, nil
}

// wholeNumber parses a number without a fraction. A fraction is an error, because it would be lost on the way to the backend.
func wholeNumber(name, text string, lowest, highest float64) (int, error) {
	v, err := number(name, text, lowest, highest)
	if err == nil && v != math.Trunc(v) {
		err = fmt.Errorf("%s: %.32q is not a whole number", name, text)
	}
	return int(v), err
}
