package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

// A discovery service that gateways share is requests to watch, not polled, and again after it rejected that. One of a gateway's
// own is polled at once.
func TestFirstRequest(t *testing.T) {
	const poll, watch = "/api/targets", "/api/targets?follow=1&since=41"
	for _, shared := range []bool{false, true} {
		requests := make(chan string, 8)
		reject := make(chan struct{}, 1)
		reject <- struct{}{}
		l, err := standin.Listen("", func(conn net.Conn) {
			for r := bufio.NewReader(conn); ; {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				requests <- q.URL.String()
				select {
				case <-reject:
					fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
					continue
				default:
				}
				text := `{"revision":43,"complete":false,"members":[]}` + "\n"
				if q.URL.RawQuery == "" {
					text = `{"revision":42,"complete":true,"members":[]}`
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					continue
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		versions := make(chan int64, 8)
		d := New(l.Addr(), NewDecoder(Names{}), func(l core.EndpointUpdate) error {
			versions <- l.List.Version
			return nil
		}, 1, zap.NewNop())
		want := []string{poll, poll, "/api/targets?follow=1&since=42"}
		if shared {
			d.ConfigureShared(true, 41, 3)
			want = []string{watch, watch}
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		for i, w := range want {
			if got := <-requests; got != w {
				t.Errorf("shared %v: request %d is %s, want %s", shared, i+1, got, w)
			}
		}
		for v := int64(0); v != 43; v = <-versions {
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		l.Close()
	}
}

// However many gateways share a discovery service, each sends its request, and its next after a rejection, before the changes that
// it misses count as delivered.
func TestInitialDelayIsBounded(t *testing.T) {
	const countsAsDelivered = 6 * time.Second
	for _, gateways := range []int{1, 3, 80, 900} {
		for seed := range uint64(50) {
			d := New("127.0.0.1:1", NewDecoder(Names{}), nil, seed, zap.NewNop())
			d.ConfigureShared(true, 41, gateways)
			if d.initialDelay > countsAsDelivered-pollTimeout || d.backoff.BusyFirst > countsAsDelivered-pollTimeout {
				t.Fatalf("seed %d, %d gateways: the first request after %v, the next %v after a rejection", seed, gateways, d.initialDelay,
					d.backoff.BusyFirst)
			}
		}
	}
}
