package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/golden"
	"dewhitch/internal/standin"
)

// TestGoldenList freezes how a list of the director is decoded, both from the director and from the gateway's configuration. The
// file contains each key, each phase, and zones and kinds by complete names and by their parts after a dash.
func TestGoldenList(t *testing.T) {
	names := Names{Zones: []string{"lake-a", "lake-b", "lake-c"}, Kinds: []string{"size-small", "size-large"}}
	got, err := NewDecoder(names).Decode(golden.Read(t, "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := Message{Revision: 41, Complete: true, Members: []ListedServer{
		{ServerName: "s-5be2a07c", Addr: "10.0.0.1:1001", Entry: dw.Endpoint{ID: 0x5be2a07c, Cell: 3, Zone: 1, Kind: 1,
			StartedAt: 1700000000001e6, Rating: 1.5, State: dw.Ready}},
		{ServerName: "s-00000002", Addr: "10.0.0.2:1002", Entry: dw.Endpoint{ID: 2, Cell: 4, Zone: 2, StartedAt: 1700000000002e6, Rating: 2.5,
			State: dw.Draining}},
		{ServerName: "s-00000003", Entry: dw.Endpoint{ID: 3, State: dw.Removed}},
		{ServerName: "node-x", Addr: "10.0.0.4:1004", Entry: dw.Endpoint{ID: 1, Cell: 5, Rating: 3.5, State: dw.Ready}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("\ngot      %+v\nexpected %+v", got, want)
	}
	known, err := NewDecoder(names).DecodeConfigured(golden.Read(t, "list.json"))
	listed := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListCached, Version: 41}}
	for _, m := range want.Members {
		appendMember(&listed, m)
	}
	if err != nil || !reflect.DeepEqual(known, listed) {
		t.Errorf("error %v\ngot      %+v\nexpected %+v", err, known, listed)
	}
}

// TestGoldenRequests freezes the bytes of the requests to the director: a poll, and a watch from a revision.
func TestGoldenRequests(t *testing.T) {
	requests := make(chan []byte, 2)
	l, err := standin.Listen("", func(c net.Conn) {
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"revision":42,"complete":true, "members":[]}`,
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"} {
			var request []byte
			for next := make([]byte, 1); !bytes.HasSuffix(request, []byte("\r\n\r\n")); request = append(request, next...) {
				if _, err := io.ReadFull(c, next); err != nil {
					return
				}
			}
			requests <- request
			fmt.Fprint(c, answer)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := New(l.Addr(), NewDecoder(Names{}), func(core.EndpointUpdate) error { return nil }, 1, zap.NewNop())
	if _, err := d.sync(context.Background(), l.Addr()); err == nil || err.Error() != "status 503" {
		t.Error(err)
	}
	text := append(<-requests, <-requests...)
	golden.Compare(t, "questions.txt", bytes.ReplaceAll(text, []byte(l.Addr()), []byte("HOST:PORT")))
}

// TestGoldenReasons freezes the reasons for interruptions of the list by errors of the client, the network and unknown kinds.
// Operators read them as values of a metric's label.
func TestGoldenReasons(t *testing.T) {
	var reasons strings.Builder
	for _, err := range []error{statusError(503), net.ErrClosed, &net.OpError{Op: "dial", Err: io.EOF}, errStale, errTooLong, errTooSlow, errEnded, errTruncated,
		&net.OpError{Op: "read", Err: io.ErrNoProgress}, io.ErrNoProgress} {
		fmt.Fprintln(&reasons, interruptionReason(err))
	}
	golden.Compare(t, "reasons.txt", []byte(reasons.String()))
}
