package dewhitch_test

import (
	"errors"
	"strings"
	"testing"

	dw "dewhitch"
)

func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		field   string
		corrupt func(*dw.Settings)
	}{
		{"Instances", func(s *dw.Settings) { s.Instances = 0 }},
		{"Self", func(s *dw.Settings) { s.Self = 2 }},
		{"Tick", func(s *dw.Settings) { s.Tick = -1 }},
		{"CounterTimeout", func(s *dw.Settings) { s.CounterTimeout = 0 }},
		{"Classes", func(s *dw.Settings) { s.Classes = nil }},
		{"Classes[1].Aim", func(s *dw.Settings) { s.Classes[1].Objective = 0 }},
		{"Plans[0].Rate", func(s *dw.Settings) { s.Plans[0].Rate = -1 }},
		{"Plans[0].CeilingRate", func(s *dw.Settings) { s.Plans[0].CeilingRate = -1 }},
		{"ColdSpan", func(s *dw.Settings) { s.SlowStartSpan = -1 }},
		{"StartCapacity", func(s *dw.Settings) { s.StartCapacity = 2 }},
	}
	for _, c := range cases {
		s := settings()
		c.corrupt(&s)
		_, err := dw.New(s, 1)
		var settingErr *dw.SettingError
		if !errors.As(err, &settingErr) || settingErr.Field != c.field || !strings.HasSuffix(err.Error(), " "+c.field) {
			t.Errorf("%s: got error %v", c.field, err)
		}
	}
}
