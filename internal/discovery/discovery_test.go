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

// Discovery that all gateways ask is asked for what changed, not for all of the list, and again when it was too busy.
// One of a gateway's own is asked for the list at once.
func TestFirstQuestion(t *testing.T) {
	const whole, since = "/api/targets", "/api/targets?follow=1&since=41"
	for _, shared := range []bool{false, true} {
		asked := make(chan string, 8)
		refuse := make(chan struct{}, 1)
		refuse <- struct{}{}
		l, err := standin.Listen("", func(conn net.Conn) {
			for r := bufio.NewReader(conn); ; {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				asked <- q.URL.String()
				select {
				case <-refuse:
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
		told := make(chan int64, 8)
		d := New(l.Addr(), NewDecoder(Names{}), func(l core.EndpointUpdate) error {
			told <- l.List.Version
			return nil
		}, 1, zap.NewNop())
		want := []string{whole, whole, "/api/targets?follow=1&since=42"}
		if shared {
			d.Shared(true, 41, 3)
			want = []string{since, since}
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		for i, w := range want {
			if got := <-asked; got != w {
				t.Errorf("shared %v: question %d is %s, want %s", shared, i+1, got, w)
			}
		}
		for v := int64(0); v != 43; v = <-told {
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		l.Close()
	}
}

// However many gateways share a discovery, each asks, and asks again, before what it misses counts as told.
func TestScatterIsBounded(t *testing.T) {
	const countsAsTold = 6 * time.Second
	for _, gateways := range []int{1, 3, 80, 900} {
		for seed := range uint64(50) {
			d := New("127.0.0.1:1", NewDecoder(Names{}), nil, seed, zap.NewNop())
			d.Shared(true, 41, gateways)
			if d.scatter > countsAsTold-answerTime || d.again.BusyFirst > countsAsTold-answerTime {
				t.Fatalf("seed %d, %d gateways: the first question after %v, the next %v after a refusal", seed, gateways, d.scatter,
					d.again.BusyFirst)
			}
		}
	}
}
