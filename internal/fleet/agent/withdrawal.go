package agent

import (
	"fmt"
	"strconv"
	"strings"
)

// MachineName returns the name of a server in commands, plans and statuses.
func MachineName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// parseMachineName returns the ID of the server with a machine's name. It returns false if the name is not a server's.
func parseMachineName(name string) (uint32, bool) {
	text, ok := strings.CutPrefix(name, "s-")
	id, err := strconv.ParseUint(text, 16, 32)
	return uint32(id), ok && err == nil && MachineName(uint32(id)) == name
}

// WithdrawalsApplied records that this gateway sends nothing new to the withdrawn machines of its last Decisions. The
// caller must not modify the map afterwards.
func (a *Agent) WithdrawalsApplied(withdrawn map[string]uint64) {
	a.appliedWithdrawals.Store(&withdrawn)
}

// withdrawnMachines returns the withdrawn machines to which this gateway sends nothing and has nothing in flight, with
// their announcement IDs.
func (a *Agent) withdrawnMachines() map[string]uint64 {
	withdrawn := a.appliedWithdrawals.Load()
	if withdrawn == nil || len(*withdrawn) == 0 {
		return nil
	}
	inFlight := a.attempts.serversInFlight()
	idle := map[string]uint64{}
	for name, id := range *withdrawn {
		if a.sendsNothingTo(name, inFlight) {
			idle[name] = id
		}
	}
	return idle
}

// sendsNothingTo returns true if this gateway has nothing in flight to a withdrawn machine. That is always true of other
// gateways, because gateways send each other no attempts. For this gateway itself, sendsNothingTo returns true once it
// has drained its clients and has nothing in flight (Options.Quiesced).
func (a *Agent) sendsNothingTo(machine string, inFlight map[uint32]bool) bool {
	if id, isServer := parseMachineName(machine); isServer && !inFlight[id] {
		return true
	} else if !isServer && machine != a.options.Gossip.Name {
		return true
	}
	return machine == a.options.Gossip.Name && a.options.Quiesced != nil && a.options.Quiesced()
}
