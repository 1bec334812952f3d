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

// TestFirstRequest guards against a poll of a shared director by a gateway that holds a list, which would overload the director
// when many gateways start together. Such a director receives a watch, and a watch again after it rejected the first one.
// A director that serves only one gateway is polled.
func TestFirstRequest(t *testing.T) {
	const poll, watch = "/api/targets", "/api/targets?follow=1&since=41"
	for _, shared := range []bool{false, true} {
		requests := make(chan string, 8)
		reject := make(chan struct{}, 1)
		reject <- struct{}{}
		l, err := standin.Listen("", func(conn net.Conn) {
			for r := bufio.NewReader(conn); ; {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				requests <- request.URL.String()
				select {
				case <-reject:
					fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
					continue
				default:
				}
				text := `{"revision":43,"complete":false,"members":[]}` + "\n"
				if request.URL.RawQuery == "" {
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
				t.Errorf("shared %v: request %d is %s, expected %s", shared, i+1, got, w)
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

// TestInitialDelayIsBounded guards against a delay that is too long if many gateways share a director. Each gateway must send its
// first request, and the next one after a rejection, before the changes that it has missed count as delivered.
func TestInitialDelayIsBounded(t *testing.T) {
	const deliveryTime = 6 * time.Second
	for _, gateways := range []int{1, 3, 80, 900} {
		for seed := range uint64(50) {
			d := New("127.0.0.1:1", NewDecoder(Names{}), nil, seed, zap.NewNop())
			d.ConfigureShared(true, 41, gateways)
			if d.initialDelay > deliveryTime-pollTimeout || d.backoff.BusyFirst > deliveryTime-pollTimeout {
				t.Fatalf("seed %d, %d gateways: got delays of %v before the first request and %v after a rejection, expected at most 5 s", seed, gateways, d.initialDelay,
					d.backoff.BusyFirst)
			}
		}
	}
}
