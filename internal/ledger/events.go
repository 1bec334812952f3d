package ledger

// Journal is a set of postings of one owner.
type Journal uint8

// The books.
const (
	JournalFront    Journal = iota // client sessions
	JournalPlanner                 // decisions
	JournalAttempts                // the pools of connections to backends; at a forwarder, to planners
	JournalUnits                   // the decision module's account, as the planner sees it
	JournalCounter                 // calls to the shared counter
	JournalCount
)

var journalNames = [JournalCount]string{"front", "planner", "fetches", "units", "counter"}

// String is the book's name.
func (j Journal) String() string { return journalNames[j] }

// Event is what a posting says.
type Event uint8

// The events. Their numbers stand in files: new ones go to the end.
const (
	None Event = iota

	FrontTaken          // a request, whole and well formed, was handed to the planner
	FrontServed         // the last byte of its value was written
	FrontRejected       // the last byte of a refusal was written
	FrontFailed         // the last byte of an error was written
	FrontClientDeparted // the client left before an answer was there
	FrontWriteFailed    // an answer was there and its last byte could not be written
	FrontNotSubmitted   // the front ended it itself: the planner takes nothing any more
	FrontCutoff         // the process ended first

	PlanTaken
	PlanServed
	PlanRejectedQuota     // the quota, or the cap on open attempts, has no room
	PlanRejectedCeiling   // nor has the hard ceiling
	PlanRejectedOverload  // for the backends' sake
	PlanRejectedExhausted // out of attempts or time, with nothing that can't be repeated
	PlanRejectedInvalid
	PlanFailedExhausted     // out of attempts or time, and it may have run
	PlanFailedDuplicateID   // another request is open under its id
	PlanFailedCounterUnread // the counter gave no exact answer in time
	PlanClientDeparted      // the client left
	PlanCutoff
	PlanSent // a attempt was ordered
	PlanNotified

	AttemptStarted
	AttemptOK
	AttemptError
	AttemptRejected
	AttemptTimeout
	AttemptConnectFailed
	AttemptReset
	AttemptCancelled
	AttemptNotSent
	AttemptCutoff

	UnitsDrawn    // onto the tally of the module's account; below 0: given back
	UnitsPushed   // a call with the tally was ordered
	UnitsReturned // onto the tally again, as nothing was added
	UnitsForgotten

	CallStarted
	CallAdded
	CallRejected // nothing was added
	CallUnknown  // it may have been added
	CallCutoff

	FrontNeverTaken     // the process ended before the planner took it
	AttemptNeverStarted // and before the pools had the attempt
	PlanNeverNotified   // and before the planner heard of its end
	CallNeverStarted
	UnitsNeverReturned
	UnitsCutoff // what was on the tally when the process ended

	FrontIdempotencyKey // the request taken under this Ref has an idempotency key; instead of units, the key's hash
	EventCount
)

// eventKind describes an event.
type eventKind struct {
	name       string
	journal    Journal
	unitsIndex int8 // where its units are added up; below 0: they are not
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

const unitSums = 16 // of units, one an event

// String is the event's name, as exports and metrics have it.
func (e Event) String() string {
	if e == None || e >= EventCount {
		return "none"
	}
	return eventKinds[e].name
}

// Journal is the book that the event is posted to.
func (e Event) Journal() Journal { return eventKinds[e].journal }

// HasUnits says whether units go with the event.
func (e Event) HasUnits() bool { return e > None && e < EventCount && eventKinds[e].unitsIndex >= 0 }

// ByName finds an event.
func ByName(name string) (Event, bool) {
	for e := None + 1; e < EventCount; e++ {
		if eventKinds[e].name == name {
			return e, true
		}
	}
	return None, false
}
