package agent

import (
	"fmt"
	"net/url"
	"strconv"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/maintenance"
)

// formParser returns the encoded argument of a command from the fields of a form. Its errors name the field.
type formParser func(url.Values) ([]byte, error)

// commandForms returns the parsers of the commands that operators can submit, by name.
func commandForms() map[string]formParser {
	forms := map[string]formParser{
		"freeze": parseNote,
		"thaw":   parseNote,
		"leave":  parseZoneCommand,
		"return": parseZoneCommand,
	}
	for name := range maintenance.Commands() {
		forms[name] = parseMaintenanceCommand
	}
	return forms
}

func parseNote(f url.Values) ([]byte, error) { return fleet.EncodeNote(f.Get("by"), f.Get("why")), nil }

func parseZoneCommand(f url.Values) ([]byte, error) {
	c := evacuation.Command{By: f.Get("by"), Reason: f.Get("why"), Zone: f.Get("zone")}
	if err := parseInt64(f, "for_ms", &c.ForMS); err != nil {
		return nil, err
	}
	if text := f.Get("hold"); text != "" {
		var err error
		if c.Hold, err = strconv.ParseBool(text); err != nil {
			return nil, fmt.Errorf("hold: %w", err)
		}
	}
	return c.Encode(), nil
}

func parseMaintenanceCommand(f url.Values) ([]byte, error) {
	c := maintenance.Command{
		By:       f.Get("by"),
		Reason:   f.Get("why"),
		Key:      f.Get("key"),
		Kind:     maintenance.Kind(f.Get("kind")),
		Machines: f["machine"],
	}
	if err := parseInt64(f, "for_ms", &c.ForMS); err != nil {
		return nil, err
	}
	if err := parseInt64(f, "not_before", &c.NotBefore); err != nil {
		return nil, err
	}
	if err := parseUint64(f, "id", &c.ID); err != nil {
		return nil, err
	}
	if err := parseUint64(f, "after", &c.After); err != nil {
		return nil, err
	}
	return c.Encode(), nil
}

// parseInt64 sets v to the number in a field. It leaves v as it is if the field is missing or empty.
func parseInt64(f url.Values, field string, v *int64) error {
	text := f.Get(field)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	*v = n
	return nil
}

// parseUint64 sets v to the number in a field. It leaves v as it is if the field is missing or empty.
func parseUint64(f url.Values, field string, v *uint64) error {
	text := f.Get(field)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	*v = n
	return nil
}
