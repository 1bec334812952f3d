// Package memory accounts for all memory that clients, backends and names can make grow. plan.go divides the memory that a process may
// use, and states the worst case as a sum. account.go is the account from which the parts of a process acquire bytes before they use
// them. docs/operate/memory.md has the sum for each size of machine.
package memory

import "math"

// Sizes of what one client connection, backend connection, request or customer takes, in bytes.
const (
	SessionBytes    = 10 << 10 // stacks, buffers and state of a client connection, with its first request
	ConnectionBytes = 10 << 10 // stack, buffers and state of a backend connection and the attempt on it
	RequestBytes    = 4 << 10  // state of a further request of a client connection, with a short command and a short answer
	CustomerBytes   = 768      // state of a customer in the decision module
)

// Sizes of the parts that do not depend on clients.
const (
	fixedBytes         = 8 << 20 // the process at rest
	listBytes          = 4 << 10 // a server of the endpoint list
	garbageShare       = 0.25    // share of the memory for garbage that is not collected yet
	minValueChunk      = 2 << 10
	minSocketBuffer    = 8 << 10  // system's buffers of one connection, both directions
	maxSocketBuffer    = 64 << 10 // the same
	socketBufferShare  = 0.25     // share of the memory for the system's buffers if all descriptors are connections
	largestBufferShare = 1.0 / 2048
)

// Shares of the memory that can grow, by what it is for. Their sum is 1.
const (
	sessionShare    = 0.48
	connectionShare = 0.19
	requestShare    = 0.06
	commandShare    = 0.08
	answerShare     = 0.10
	customerShare   = 0.09
)

// Machine is what a process may use.
type Machine struct {
	Bytes       int64 // memory
	Sockets     int   // descriptors
	Sessions    int   // client connections for which there are descriptors
	Connections int   // backend connections for which there are descriptors
	Buffer      int   // system's buffers of one connection; 0 if they are derived from the memory
	Reserved    int64 // memory of parts with a fixed size of their own, such as a ledger
}

// Plan divides the memory of a machine. All sizes are in bytes.
type Plan struct {
	Sessions     int   // maximum number of client connections
	Connections  int   // maximum number of backend connections
	Customers    int   // maximum number of customers in the decision module
	SocketBuffer int   // system's buffers of one connection, half of it for each direction
	ValueChunk   int   // part of a streamed value that is in memory at the same time, for each client connection
	Requests     int64 // further requests of client connections
	Commands     int64 // long commands, from before they are read until nothing refers to them
	Answers      int64 // long answers, from before they are read until they are written
	Fixed        int64 // the process at rest, with the parts of fixed size
	Garbage      int64 // garbage that is not collected yet
	Growable     int64 // everything else; the sum of what the other fields allow is at most this
	Runtime      int64 // memory at which the runtime collects garbage whatever it costs
}

// NewPlan divides the memory of a machine.
func NewPlan(m Machine) Plan {
	p := Plan{Fixed: fixedBytes + m.Reserved, Garbage: int64(garbageShare * float64(m.Bytes))}
	p.Growable = max(m.Bytes/4, m.Bytes-p.Fixed-p.Garbage)
	perSocket := min(socketBufferShare*float64(m.Bytes)/float64(max(1, m.Sockets)), largestBufferShare*float64(m.Bytes))
	p.SocketBuffer = int(math.Max(minSocketBuffer, math.Min(maxSocketBuffer, perSocket)))
	if m.Buffer > 0 {
		p.SocketBuffer = m.Buffer
	}
	p.ValueChunk = max(minValueChunk, p.SocketBuffer/4)
	share := func(s float64) int64 { return int64(s * float64(p.Growable)) }
	p.Sessions = min(m.Sessions, int(share(sessionShare)/p.SessionTotal()))
	p.Connections = min(m.Connections, int(share(connectionShare)/p.ConnectionTotal()))
	p.Customers = int(share(customerShare) / CustomerBytes)
	// What descriptors keep client and backend connections from using goes to the other parts.
	spare := share(sessionShare+connectionShare) - p.connectionsTotal()
	p.Requests = share(requestShare) + spare/4
	p.Commands = share(commandShare) + spare/4
	p.Answers = share(answerShare) + spare/4
	p.Runtime = m.Bytes - int64(p.Sessions+p.Connections)*int64(p.SocketBuffer) - outsideRuntime
	return p
}

// outsideRuntime is the memory of a process that the runtime does not count: the C library, data of the program, stacks of threads.
const outsideRuntime = 3 << 20

// SessionTotal returns the bytes of one client connection.
func (p Plan) SessionTotal() int64 { return int64(SessionBytes + p.SocketBuffer + p.ValueChunk) }

// ConnectionTotal returns the bytes of one backend connection.
func (p Plan) ConnectionTotal() int64 { return int64(ConnectionBytes + p.SocketBuffer) }

// connectionsTotal returns the bytes of all client and backend connections.
func (p Plan) connectionsTotal() int64 {
	return int64(p.Sessions)*p.SessionTotal() + int64(p.Connections)*p.ConnectionTotal()
}

// WorstCase returns the sum of all parts in bytes. It is at most the memory of the machine.
func (p Plan) WorstCase() int64 {
	return p.Fixed + p.Garbage + p.connectionsTotal() + p.Requests + p.Commands + p.Answers + int64(p.Customers)*CustomerBytes
}
