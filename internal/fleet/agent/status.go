package agent

import (
	"maps"
	"slices"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/gossip"
)

// States of a voter's storage in Status.Folder.
const (
	folderNone     = "none"   // this member stores nothing
	folderWritable = "kept"   // the last write succeeded
	folderHalted   = "halted" // the last write failed
)

// MemberStatus describes a member on the status page.
type MemberStatus struct {
	gossip.Member
	Epoch            fleet.Epoch `json:"epoch"`          // epoch of the plan that the member follows, by its last status
	ProcessStartedAt int64       `json:"incarnation"`    // start time of the member's process in Unix ns; 0: no status received
	Age              int64       `json:"last_report_ms"` // time since the member's last status in ms; -1: no status received
	Fresh            bool        `json:"fresh"`          // true if the member's view was fresh, by its last status
	Voter            bool        `json:"voter"`          // true if the configuration lists the member as a voter
}

// Status is the content of the status page.
type Status struct {
	Name           string              `json:"name"`
	Fleet          string              `json:"fleet"`
	Leader         string              `json:"leader"`
	LeaderAge      int64               `json:"leader_ms"`        // time since the last contact with the leader in ms
	Quorum         bool                `json:"quorum"`           // true if this member leads, or the lease of the leader's last confirmation is valid
	Epoch          fleet.Epoch         `json:"epoch"`            // epoch of the plan
	Sections       []string            `json:"sections"`         // keys of the plan's sections, sorted
	Frozen         *fleet.OperatorMark `json:"frozen,omitempty"` // operator's freeze of the plan; nil: none
	Unacknowledged []string            `json:"unacknowledged"`   // live members that have not confirmed the plan within the last lease
	Members        []MemberStatus      `json:"members"`
	PassedOver     uint64              `json:"passed_over"` // number of messages and reports that were dropped as unusable
	Folder         string              `json:"folder"`      // state of a voter's storage: kept, halted or none
}

// Status returns this member's view of the fleet. Its only error is ErrEnded.
func (a *Agent) Status() (s Status, err error) {
	err = a.call(func() { s = a.status() })
	return s, err
}

// status runs on the agent's goroutine.
func (a *Agent) status() Status {
	p := a.node.Plan()
	leader, leaderAge := a.node.Leader()
	s := Status{
		Name:           a.options.Gossip.Name,
		Fleet:          a.options.Gossip.Fleet,
		Leader:         leader,
		LeaderAge:      leaderAge.Milliseconds(),
		Quorum:         a.node.SelfStatus().Fresh,
		Epoch:          p.Epoch,
		Sections:       slices.Sorted(maps.Keys(p.Sections)),
		Unacknowledged: a.node.Unacknowledged(p.Epoch),
		PassedOver:     a.node.Dropped(),
		Folder:         a.folderState(),
	}
	if m, ok := p.Frozen(); ok {
		s.Frozen = &m
	}
	for _, m := range a.gossip.Members() {
		s.Members = append(s.Members, a.memberStatus(m))
	}
	return s
}

func (a *Agent) folderState() string {
	switch {
	case a.storage.store == nil:
		return folderNone
	case a.storage.halted():
		return folderHalted
	}
	return folderWritable
}

func (a *Agent) memberStatus(m gossip.Member) MemberStatus {
	s := MemberStatus{Member: m, Age: -1, Voter: slices.Contains(a.options.Voters, m.Name)}
	if m.Name == a.options.Gossip.Name {
		s.Epoch = a.node.Plan().Epoch
		s.ProcessStartedAt = a.startedAt.UnixNano()
		s.Age = 0
		s.Fresh = a.node.Fresh()
		return s
	}
	if p, ok := a.node.Peer(m.Name); ok && p.HasStatus {
		now, _ := a.now()
		s.Epoch = p.Status.Epoch
		s.ProcessStartedAt = p.StartedAt
		s.Age = (now - p.LastStatusAt).Milliseconds()
		s.Fresh = p.Status.Fresh
	}
	return s
}
