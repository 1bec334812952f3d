// Package fleet implements the replicated state machine of a fleet of gateways. It tracks the membership and
// the load reports of all members, and a plan that a quorum of voters commits through raft and that every
// member applies.
//
// Like raft's own package it does no I/O, reads no clock and starts no goroutines. The owner of a Node passes
// it the time and the received messages, stores and sends what it returns, and reacts to the events that
// report changes. docs/design/fleet.md describes the guarantees of the fleet.
package fleet
