package agent

import (
	"fmt"
	"strconv"
	"strings"
)

// MachineName is a server's name in commands, plans and statuses.
func MachineName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// parseMachine returns the server of a machine's name; false: the machine is a gateway.
func parseMachine(name string) (uint32, bool) {
	text, ok := strings.CutPrefix(name, "s-")
	id, err := strconv.ParseUint(text, 16, 32)
	return uint32(id), ok && err == nil && MachineName(uint32(id)) == name
}

// WithdrawalsApplied tells that nothing new is sent to the withdrawn machines of the last Decisions any more. It takes
// over the map.
func (a *Agent) WithdrawalsApplied(withdrawn map[string]uint64) { a.withdrawn.Store(&withdrawn) }

// withdrawnMachines returns the withdrawn machines that may be taken down as far as this gateway is concerned,
// each with its turn.
func (a *Agent) withdrawnMachines() map[string]uint64 {
	withdrawn := a.withdrawn.Load()
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

// sendsNothingTo tells whether this gateway has nothing in flight to a withdrawn machine. It sends nothing to
// other gateways; of itself it asks whether it has drained its clients.
func (a *Agent) sendsNothingTo(machine string, inFlight map[uint32]bool) bool {
	if id, isServer := parseMachine(machine); isServer && !inFlight[id] {
		return true
	} else if !isServer && machine != a.options.Gossip.Name {
		return true
	}
	return machine == a.options.Gossip.Name && a.options.Quiesced != nil && a.options.Quiesced()
}
