package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/admin"
	"dewhitch/internal/config"
	"dewhitch/internal/operator"
)

// listenForClients opens the clients' address, or takes the socket that the platform handed down.
func listenForClients(n *config.Node) (net.Listener, error) {
	if n.InheritedFD == 0 {
		l, err := net.Listen("tcp", n.Listen)
		if err != nil {
			return nil, fmt.Errorf("configuration: listen (NODE_LISTEN): %w", err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(n.InheritedFD), "clients")
	defer f.Close() // the listener has a duplicate of the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("configuration: NODE_FD: descriptor %d: %w", n.InheritedFD, err)
	}
	return l, nil
}

// openAdmin opens the operators' address; nil: there is none.
func openAdmin(n *config.Node, calls *adminCalls) (*admin.Server, error) {
	if n.Admin == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", n.Admin)
	if err != nil {
		return nil, fmt.Errorf("configuration: admin (NODE_ADMIN): %w", err)
	}
	return &admin.Server{Listener: l, Gateway: calls, Log: calls.log}, nil
}

// operatorListener opens the operators' HTTP listener; nil: there is none. A fault of it while it runs does not end the process.
func operatorListener(o *config.Operations, parts []operator.Component, log *zap.Logger) (service, error) {
	if o.Operator.Listen == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", o.Operator.Listen)
	if err != nil {
		return nil, fmt.Errorf("configuration: operator.listen: %w", err)
	}
	return func(ctx context.Context) error {
		if err := operator.Serve(ctx, l, parts...); err != nil {
			log.Error("the operators' listener ended", zap.Error(err))
		}
		return nil
	}, nil
}
