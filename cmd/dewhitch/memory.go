package main

import (
	"context"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/config"
	"dewhitch/internal/counter"
	"dewhitch/internal/discovery"
	"dewhitch/internal/memory"
)

// Memory of the parts of a process whose size is fixed at its start.
const (
	ledgerShare          = 0.10 // share of the memory for the ledger's rows, and as much for its files if they count as memory
	ledgerRowBytes       = 1400 // a customer's row in the ledger, with what a store keeps of it
	ledgerRecordBytes    = 256  // a record in the ledger's files
	ledgerSegments       = 2    // segments of the ledger's log if they count as memory
	snapshotShare        = 1.0 / 32
	snapshotCustomerSize = 1 << 10 // a customer in a snapshot: its state, the encoded form, and the files of two processes
)

// memoryCheckInterval is the time between two checks whether another process of the gateway runs.
const memoryCheckInterval = 50 * time.Millisecond

// memoryPlans are the divisions of the memory and the descriptors of a gateway, which all its processes share.
type memoryPlans struct {
	alone  memory.Plan // while no other process of the gateway runs
	shared memory.Plan // for each of two processes, while one replaces the other
}

// planMemory divides the memory and the descriptors of a gateway. It lowers the limits of the ledger in operations to what fits.
func planMemory(node *config.Node, operations *config.Operations) memoryPlans {
	sockets := node.Sockets - reservedSockets - counter.Sockets - discovery.Sockets
	attempts := int(attemptSocketShare * float64(sockets))
	bytes := int64(node.MemoryMB) << 20
	reserved := limitLedger(&operations.Ledger, bytes, node.TempDir)
	if operations.Warm.Enabled(node.InheritedFD != 0) {
		reserved += int64(snapshotCustomers(bytes)) * snapshotCustomerSize
	}
	machine := memory.Machine{Bytes: bytes, Sockets: node.Sockets, Sessions: sockets - attempts, Connections: attempts, Reserved: reserved}
	plans := memoryPlans{alone: memory.NewPlan(machine)}
	machine.Bytes /= 2
	machine.Sessions /= 2
	machine.Connections /= 2
	machine.Buffer = plans.alone.SocketBuffer // set when a connection opens
	plans.shared = memory.NewPlan(machine)
	return plans
}

// planForwarderMemory divides the memory and the descriptors of a forwarder. Each session needs one descriptor for the client's
// connection and one for a connection to each gateway. Only the descriptors limit the latter.
func planForwarderMemory(f *config.Forward) memory.Plan {
	sessions := max(1, (f.Sockets-reservedSockets)/(1+f.Gateways))
	return memory.NewPlan(memory.Machine{Bytes: int64(f.MemoryMB) << 20, Sockets: f.Sockets, Sessions: sessions,
		Connections: sessions * f.Gateways})
}

// shareMemory applies the plan for one or for two processes, as another process of the gateway starts or ends, until the context ends.
func (g *gateway) shareMemory(ctx context.Context) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for shared := g.memoryShared; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if others := g.exclusions.OthersRunning(); others != shared {
			shared = others
			g.applyMemoryPlan(shared)
		}
	}
}

// applyMemoryPlan applies the plan for one process or for two.
func (g *gateway) applyMemoryPlan(shared bool) {
	plan := g.memoryPlans.alone
	if shared {
		plan = g.memoryPlans.shared
	}
	g.memory.SetCapacities(plan)
	g.pools.SetMaxConns(plan.Connections)
	for _, s := range g.servers {
		s.SetMaxSessions(plan.Sessions / len(g.servers))
	}
	applyMemoryLimit(plan)
	g.log.Info("memory is divided anew", zap.Bool("another_process", shared), zap.Int("sessions", plan.Sessions),
		zap.Int("connections", plan.Connections), zap.Int64("commands", plan.Commands), zap.Int64("answers", plan.Answers))
}

// limitLedger lowers the limits of a ledger to its share of the memory, and returns the bytes that it may take. Files below the temporary
// folder count as memory.
func limitLedger(l *config.Ledger, bytes int64, tempDir string) int64 {
	if !l.Enabled {
		return 0
	}
	share := int64(ledgerShare * float64(bytes))
	l.Rows = min(l.Rows, int(share/ledgerRowBytes))
	reserved := int64(l.Rows) * ledgerRowBytes
	if l.Dir == "" || !isBelow(l.Dir, tempDir) {
		return reserved
	}
	l.Segments = min(l.Segments, ledgerSegments)
	l.SegmentBytes = min(l.SegmentBytes, int(share/2)/(l.Segments+1))
	l.Records = min(l.Records, int(share/2/ledgerRecordBytes))
	return reserved + share
}

// isBelow reports whether a folder is another one or lies below it.
func isBelow(dir, parent string) bool {
	relative, err := filepath.Rel(parent, dir)
	return err == nil && relative != ".." && !strings.HasPrefix(relative, "../")
}

// snapshotCustomers returns the maximum number of customers in a snapshot.
func snapshotCustomers(bytes int64) int {
	return int(snapshotShare * float64(bytes) / snapshotCustomerSize)
}

// logMemory logs how the memory is divided, in bytes.
func logMemory(log *zap.Logger, limit int64, p memory.Plan) {
	log.Info("memory is divided", zap.Int64("limit", limit), zap.Int64("worst_case", p.WorstCase()), zap.Int64("fixed", p.Fixed),
		zap.Int64("garbage", p.Garbage), zap.Int("sessions", p.Sessions), zap.Int("connections", p.Connections),
		zap.Int("customers", p.Customers), zap.Int("socket_buffer", p.SocketBuffer), zap.Int64("requests", p.Requests),
		zap.Int64("commands", p.Commands), zap.Int64("answers", p.Answers), zap.Int64("runtime", p.Runtime))
}

// applyMemoryLimit sets the memory at which the runtime collects garbage whatever it costs.
func applyMemoryLimit(p memory.Plan) { debug.SetMemoryLimit(p.Runtime) }
