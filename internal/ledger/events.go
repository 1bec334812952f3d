package ledger

// Journal identifies a journal: the postings of one part of the gateway, which owns it.
type Journal uint8

// The journals, by their owners.
const (
	JournalFront    Journal = iota // client sessions
	JournalPlanner                 // decisions of the planner
	JournalAttempts                // pools of connections to backends; in a forwarder, to planners
	JournalUnits                   // accounts of the decision module, posted by the planner
	JournalCounter                 // calls to the shared counter
	JournalCount                   // number of journals
)

var journalNames = [JournalCount]string{"front", "planner", "fetches", "units", "counter"}

// String returns the name of the journal in logs, alarms and exports.
func (j Journal) String() string { return journalNames[j] }

// Event is the kind of a posting.
type Event uint8

// The events. Files contain their numbers, so new events are added at the end.
const (
	None Event = iota

	FrontTaken          // a complete and well-formed request was submitted to the planner
	FrontServed         // the last byte of the value was written
	FrontRejected       // the last byte of a refusal was written
	FrontFailed         // the last byte of an error was written
	FrontClientDeparted // the client closed its connection before there was an answer
	FrontWriteFailed    // there was an answer, and its last byte could not be written
	FrontNotSubmitted   // the front ended the request because the planner no longer accepts requests
	FrontCutoff         // the process ended before the request did

	PlanTaken               // the planner accepted a request
	PlanServed              // a value was returned to the front
	PlanRejectedQuota       // the quota, or the limit on open attempts, is used up
	PlanRejectedCeiling     // the hard ceiling is used up
	PlanRejectedOverload    // the backends are overloaded
	PlanRejectedExhausted   // attempts or time ran out, and the request did not run, or may safely be repeated
	PlanRejectedInvalid     // the class or plan does not exist, or no time is left
	PlanFailedExhausted     // attempts or time ran out, and the request may have run
	PlanFailedDuplicateID   // another request with the same id is open
	PlanFailedCounterUnread // the counter gave no exact answer in time
	PlanClientDeparted      // the client closed its connection
	PlanCutoff              // the process ended before the planner decided
	PlanSent                // the planner ordered an attempt
	PlanNotified            // the planner was notified of the end of an attempt

	AttemptStarted       // the pools started an attempt
	AttemptOK            // the server returned a value
	AttemptError         // the server returned an error
	AttemptRejected      // the server rejected the request without running it
	AttemptTimeout       // there was no answer in time
	AttemptConnectFailed // no connection was made
	AttemptReset         // the connection broke
	AttemptCancelled     // the gateway cancelled the attempt
	AttemptNotSent       // nothing was written to the server
	AttemptCutoff        // the process ended before the attempt did

	UnitsDrawn     // units were added to the tally of an account in the decision module; negative if given back
	UnitsPushed    // a counter call with the units of the tally was ordered
	UnitsReturned  // the units of a rejected call were added to the tally again
	UnitsForgotten // the module dropped an account with units on its tally

	CallStarted  // the counter's client started a call
	CallAdded    // the counter added the units
	CallRejected // the counter added nothing
	CallUnknown  // the counter may have added the units
	CallCutoff   // the process ended before the call did

	FrontNeverTaken     // the process ended before the planner accepted the request
	AttemptNeverStarted // the process ended before the pools started the attempt
	PlanNeverNotified   // the process ended before the planner was notified of the end of the attempt
	CallNeverStarted    // the process ended before the call started
	UnitsNeverReturned  // the process ended before the units of a rejected call were returned
	UnitsCutoff         // units that were on the tally when the process ended

	FrontIdempotencyKey // the request with this reference has an idempotency key; Units holds the hash of the key
	EventCount          // number of events, with None
)

// eventKind is the description of an event.
type eventKind struct {
	name       string
	journal    Journal
	unitsIndex int8 // index of the sum of its units in Counts.U; negative for an event without units
}

var eventKinds = [EventCount]eventKind{
	FrontTaken: {"taken", JournalFront, 0}, FrontServed: {"served", JournalFront, -1}, FrontRejected: {"refused", JournalFront, -1},
	FrontFailed: {"failed", JournalFront, -1}, FrontClientDeparted: {"gone", JournalFront, -1}, FrontWriteFailed: {"cut", JournalFront, -1},
	FrontNotSubmitted: {"kept", JournalFront, 1}, FrontCutoff: {"cut_off_by_crash", JournalFront, -1},
	FrontIdempotencyKey: {"keyed", JournalFront, -1},
	FrontNeverTaken:     {"never_handed", JournalFront, 15},
	PlanTaken:           {"planner_taken", JournalPlanner, 2}, PlanServed: {"planner_served", JournalPlanner, -1},
	PlanRejectedQuota: {"refused_quota", JournalPlanner, -1}, PlanRejectedCeiling: {"refused_ceiling", JournalPlanner, -1},
	PlanRejectedOverload: {"refused_servers", JournalPlanner, -1}, PlanRejectedExhausted: {"refused_gave_up", JournalPlanner, -1},
	PlanRejectedInvalid: {"refused_unusable", JournalPlanner, -1}, PlanFailedExhausted: {"failed_gave_up", JournalPlanner, -1},
	PlanFailedDuplicateID: {"failed_id_open", JournalPlanner, -1}, PlanFailedCounterUnread: {"failed_no_count", JournalPlanner, -1},
	PlanClientDeparted: {"planner_gone", JournalPlanner, -1}, PlanCutoff: {"planner_cut_off", JournalPlanner, -1},
	PlanSent: {"fetches_ordered", JournalPlanner, -1}, PlanNotified: {"fetches_heard", JournalPlanner, -1},
	PlanNeverNotified: {"fetches_unheard", JournalPlanner, -1},
	AttemptStarted:    {"fetches_begun", JournalAttempts, -1}, AttemptOK: {"fetch_ok", JournalAttempts, -1},
	AttemptError: {"fetch_error", JournalAttempts, -1}, AttemptRejected: {"fetch_rejected", JournalAttempts, -1},
	AttemptTimeout: {"fetch_timeout", JournalAttempts, -1}, AttemptConnectFailed: {"fetch_connect_failed", JournalAttempts, -1},
	AttemptReset: {"fetch_reset", JournalAttempts, -1}, AttemptCancelled: {"fetch_cancelled", JournalAttempts, -1},
	AttemptNotSent: {"fetch_not_sent", JournalAttempts, -1}, AttemptCutoff: {"fetch_cut_off", JournalAttempts, -1},
	AttemptNeverStarted: {"fetch_never_begun", JournalAttempts, -1},
	UnitsDrawn:          {"units_drawn", JournalUnits, 3}, UnitsPushed: {"units_told", JournalUnits, 4},
	UnitsReturned: {"units_returned", JournalUnits, 5}, UnitsForgotten: {"units_forgotten", JournalUnits, 6},
	UnitsNeverReturned: {"units_never_returned", JournalUnits, 7}, UnitsCutoff: {"units_cut_off", JournalUnits, 8},
	CallStarted: {"calls_begun", JournalCounter, 9}, CallAdded: {"calls_added", JournalCounter, 10},
	CallRejected: {"calls_rejected", JournalCounter, 11}, CallUnknown: {"calls_unknown", JournalCounter, 12},
	CallCutoff: {"calls_cut_off", JournalCounter, 13}, CallNeverStarted: {"calls_never_begun", JournalCounter, 14},
}

// unitSums is the number of events with units.
const unitSums = 16

// String returns the event's name in exports and metrics.
func (e Event) String() string {
	if e == None || e >= EventCount {
		return "none"
	}
	return eventKinds[e].name
}

// Journal returns the journal that the event is posted to.
func (e Event) Journal() Journal { return eventKinds[e].journal }

// HasUnits reports whether postings of the event have units.
func (e Event) HasUnits() bool { return e > None && e < EventCount && eventKinds[e].unitsIndex >= 0 }

// ByName returns the event with a name, and false if there is none.
func ByName(name string) (Event, bool) {
	for e := None + 1; e < EventCount; e++ {
		if eventKinds[e].name == name {
			return e, true
		}
	}
	return None, false
}
