package recorder

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// alarmKey identifies an alarm. Mismatches with the same key are one alarm, whatever their figures.
type alarmKey struct {
	key     ledger.Key
	allRows bool // the mismatch is over all rows, and key is empty
	check   string
}

// alarm is a line of the alarm file.
type alarm struct {
	At           time.Time `json:"at"`
	State        string    `json:"state"`
	Check        string    `json:"check"`
	Customer     string    `json:"haulier"`
	Plan         string    `json:"plan,omitempty"`
	Class        string    `json:"class,omitempty"`
	Journals     []string  `json:"books,omitempty"`
	Figures      []int64   `json:"figures,omitempty"`
	LastPostings []string  `json:"last_postings,omitempty"`
}

// newAlarm returns the alarm of a mismatch, with the last postings to its row. The lock mu is held.
func (rec *Recorder) newAlarm(m ledger.Mismatch) alarm {
	a := alarm{At: time.Now(), Check: m.Check, Customer: "all"}
	if !m.AllRows {
		a.Customer = ledger.CustomerText(m.Key.Customer)
		a.Plan, a.Class = rec.names.Plan(m.Key.Plan), rec.names.Class(m.Key.Class)
		for _, p := range rec.ledger.RecentPostings(m.Key, alarmPostings) {
			a.LastPostings = append(a.LastPostings, fmt.Sprintf("%s %s ref=%d units=%g",
				time.Unix(0, p.At).UTC().Format("15:04:05.000000"), p.Event, p.Ref, float64(p.Units)/1e6))
		}
	}
	if m.Left != m.Right {
		a.Journals = []string{m.Journals[0].String(), m.Journals[1].String()}
		a.Figures = []int64{int64(m.Left), int64(m.Right)}
	}
	return a
}

// appendToAlarmFile appends an alarm to the operators' alarm file. It opens the file for each alarm, because operators may move
// the file.
func (rec *Recorder) appendToAlarmFile(a alarm) {
	if rec.options.AlarmFile == "" {
		return
	}
	text, err := json.Marshal(a)
	if err == nil {
		var f *os.File
		if f, err = os.OpenFile(rec.options.AlarmFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640); err == nil {
			_, err = f.Write(append(text, '\n'))
			f.Close()
		}
	}
	if err != nil {
		rec.options.Log.Warn("the alarm file can't be written: the alarm is in the log only", zap.Error(err))
	}
}
