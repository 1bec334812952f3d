package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/admin"
	"dewhitch/internal/config"
	"dewhitch/internal/fairqueue"
	"dewhitch/internal/operator"
	"dewhitch/internal/sockets"
)

// adminBuffer is how many bytes the system may hold in each direction of an operators' connection.
const adminBuffer = 16 << 10

// listenForClients opens the clients' address, or uses the listening socket that the platform passed to the process.
func listenForClients(node *config.Node) (net.Listener, error) {
	if node.InheritedFD == 0 {
		l, err := net.Listen("tcp", node.Listen)
		if err != nil {
			return nil, fmt.Errorf("configuration: listen (NODE_LISTEN): %w", err)
		}
		return l, nil
	}
	file := os.NewFile(uintptr(node.InheritedFD), "clients")
	defer file.Close() // FileListener duplicates the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: NODE_FD: descriptor %d: %w", node.InheritedFD, err)
	}
	return l, nil
}

// openAdmin opens the address for operators' calls. It returns nil if none is configured.
func openAdmin(node *config.Node, calls *adminCalls, fair *fairqueue.Scheduler) (*admin.Server, error) {
	if node.Admin == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", node.Admin)
	if err != nil {
		return nil, fmt.Errorf("configuration: admin (NODE_ADMIN): %w", err)
	}
	sockets.LimitBuffers(l, adminBuffer, adminBuffer)
	return &admin.Server{Listener: fair.Listen(l, fairqueue.Operating), Gateway: calls, Log: calls.log}, nil
}

// openOperatorListener opens the operators' HTTP listener. It returns nil if none is configured. A fault of the running listener
// is logged and does not end the process.
func openOperatorListener(operations *config.Operations, parts []operator.Component, fair *fairqueue.Scheduler,
	log *zap.Logger) (service, error) {
	if operations.Operator.Listen == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", operations.Operator.Listen)
	if err != nil {
		return nil, fmt.Errorf("configuration: operator.listen: %w", err)
	}
	return func(ctx context.Context) error {
		if err := operator.Serve(ctx, fair.Listen(l, fairqueue.Operating), parts...); err != nil {
			log.Error("the operators' listener ended", zap.Error(err))
		}
		return nil
	}, nil
}
