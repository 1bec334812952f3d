package ledger

// Book is a set of postings of one owner.
type Book uint8

// The books.
const (
	Front   Book = iota // client sessions
	Planner             // decisions
	Fetches             // the pools of connections to backends; at a forwarder, to planners
	Units               // the decision module's account, as the planner sees it
	Counter             // calls to the shared counter
	Books
)

var bookNames = [Books]string{"front", "planner", "fetches", "units", "counter"}

// String is the book's name.
func (b Book) String() string { return bookNames[b] }

// Event is what a posting says.
type Event uint8

// The events. Their numbers stand in files: new ones go to the end.
const (
	None Event = iota

	FrontTaken   // a req, whole and well formed, was handed to the planner
	FrontServed  // the last byte of its value was written
	FrontRefused // the last byte of a refusal was written
	FrontFailed  // the last byte of an error was written
	FrontGone    // the client left before an answer was there
	FrontCut     // an answer was there and its last byte could not be written
	FrontKept    // the front ended it itself: the planner takes nothing any more
	FrontCutoff  // the process ended first

	PlanTaken
	PlanServed
	PlanRefusedQuota   // the quota, or the cap on open attempts, has no room
	PlanRefusedCeiling // nor has the hard ceiling
	PlanRefusedServers // for the backends' sake
	PlanRefusedGaveUp  // out of attempts or time, with nothing that can't be repeated
	PlanRefusedUnusable
	PlanFailedGaveUp // out of attempts or time, and it may have run
	PlanFailedOpen   // another req is open under its id
	PlanFailedUnread // the counter gave no exact answer in time
	PlanGone         // the client left
	PlanCutoff
	PlanSent // a fetch was ordered
	PlanHeard

	FetchBegan
	FetchOK
	FetchError
	FetchRejected
	FetchTimeout
	FetchConnectFailed
	FetchReset
	FetchCancelled
	FetchNotSent
	FetchCutoff

	UnitsDrawn    // onto the tally of the module's account; below 0: given back
	UnitsTold     // a call with the tally was ordered
	UnitsReturned // onto the tally again, as nothing was added
	UnitsForgotten

	CallBegan
	CallAdded
	CallRejected // nothing was added
	CallUnknown  // it may have been added
	CallCutoff

	FrontNeverTaken // the process ended before the planner took it
	FetchNeverBegan // and before the pools had the fetch
	PlanHeardCutoff // and before the planner heard of its end
	CallNeverBegan
	UnitsNeverReturned
	UnitsCutoff // what was on the tally when the process ended

	FrontKeyed // the req taken under this Ref has an idempotency key; instead of units, the key's hash
	Events
)

// kind describes an event.
type kind struct {
	name  string
	book  Book
	units int8 // where its units are added up; below 0: they are not
}

var kinds = [Events]kind{
	FrontTaken: {"taken", Front, 0}, FrontServed: {"served", Front, -1}, FrontRefused: {"refused", Front, -1},
	FrontFailed: {"failed", Front, -1}, FrontGone: {"gone", Front, -1}, FrontCut: {"cut", Front, -1},
	FrontKept: {"kept", Front, 1}, FrontCutoff: {"cut_off_by_crash", Front, -1},
	FrontKeyed:      {"keyed", Front, -1},
	FrontNeverTaken: {"never_handed", Front, 15},
	PlanTaken:       {"planner_taken", Planner, 2}, PlanServed: {"planner_served", Planner, -1},
	PlanRefusedQuota: {"refused_quota", Planner, -1}, PlanRefusedCeiling: {"refused_ceiling", Planner, -1},
	PlanRefusedServers: {"refused_servers", Planner, -1}, PlanRefusedGaveUp: {"refused_gave_up", Planner, -1},
	PlanRefusedUnusable: {"refused_unusable", Planner, -1}, PlanFailedGaveUp: {"failed_gave_up", Planner, -1},
	PlanFailedOpen: {"failed_id_open", Planner, -1}, PlanFailedUnread: {"failed_no_count", Planner, -1},
	PlanGone: {"planner_gone", Planner, -1}, PlanCutoff: {"planner_cut_off", Planner, -1},
	PlanSent: {"fetches_ordered", Planner, -1}, PlanHeard: {"fetches_heard", Planner, -1},
	PlanHeardCutoff: {"fetches_unheard", Planner, -1},
	FetchBegan:      {"fetches_begun", Fetches, -1}, FetchOK: {"fetch_ok", Fetches, -1},
	FetchError: {"fetch_error", Fetches, -1}, FetchRejected: {"fetch_rejected", Fetches, -1},
	FetchTimeout: {"fetch_timeout", Fetches, -1}, FetchConnectFailed: {"fetch_connect_failed", Fetches, -1},
	FetchReset: {"fetch_reset", Fetches, -1}, FetchCancelled: {"fetch_cancelled", Fetches, -1},
	FetchNotSent: {"fetch_not_sent", Fetches, -1}, FetchCutoff: {"fetch_cut_off", Fetches, -1},
	FetchNeverBegan: {"fetch_never_begun", Fetches, -1},
	UnitsDrawn:      {"units_drawn", Units, 3}, UnitsTold: {"units_told", Units, 4},
	UnitsReturned: {"units_returned", Units, 5}, UnitsForgotten: {"units_forgotten", Units, 6},
	UnitsNeverReturned: {"units_never_returned", Units, 7}, UnitsCutoff: {"units_cut_off", Units, 8},
	CallBegan: {"calls_begun", Counter, 9}, CallAdded: {"calls_added", Counter, 10},
	CallRejected: {"calls_rejected", Counter, 11}, CallUnknown: {"calls_unknown", Counter, 12},
	CallCutoff: {"calls_cut_off", Counter, 13}, CallNeverBegan: {"calls_never_begun", Counter, 14},
}

const sums = 16 // of units, one an event

// String is the event's name, as exports and metrics have it.
func (e Event) String() string {
	if e == None || e >= Events {
		return "none"
	}
	return kinds[e].name
}

// Book is the book that the event is posted to.
func (e Event) Book() Book { return kinds[e].book }

// HasUnits says whether units go with the event.
func (e Event) HasUnits() bool { return e > None && e < Events && kinds[e].units >= 0 }

// ByName finds an event.
func ByName(name string) (Event, bool) {
	for e := None + 1; e < Events; e++ {
		if kinds[e].name == name {
			return e, true
		}
	}
	return None, false
}
