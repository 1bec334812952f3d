// Package fleet is the replicated state machine of a fleet of gateways: membership and reports of all
// members, and a plan that a quorum of voters commits by raft and every member acts on.
//
// It is pure, like raft's own package: no I/O, no clock, no goroutines. The owner of a Node hands it time and
// messages, stores and sends what it returns, and learns of changes by events. docs/design/fleet.md states
// what the fleet guarantees.
package fleet
