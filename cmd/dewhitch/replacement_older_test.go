package main_test

import (
	"flag"
	"testing"
)

var olderProgram = flag.String("older.program", "", "path of an older build, for TestBesideAnOlderBuild")

// startOlder starts a process of the older build and waits until it is ready.
func (r *replacement) startOlder() *gatewayProcess {
	r.env.t.Helper()
	r.env.program = *olderProgram
	defer func() { r.env.program = "" }()
	return r.start()
}

// TestBesideAnOlderBuild guards against calls that are lost in an upgrade from an older build or a return to it, and against files of
// either that the other does not take. It needs a program of that build, and is played by hand.
func TestBesideAnOlderBuild(t *testing.T) {
	if *olderProgram == "" {
		t.Skip("no -older.program")
	}
	t.Run("upgrade", func(t *testing.T) {
		r := newReplacement(t)
		older := r.startOlder()
		r.mustSayYes(older, "exclude s-00000001")
		next := r.start()
		r.expectExcluded(next, 1)
		r.mustSayYes(older, "exclude s-00000002")
		r.expectExcluded(next, 2)
		r.mustSayYes(older, "include s-00000001")
		r.expectExcluded(next, 1)
		r.mustSayYes(next, "exclude s-00000003")
		r.mustSayYes(older, "exclude s-00000001") // overwrites the file with a view that lacks the call before
		r.expectExcluded(next, 3)
		r.end(older)
		r.expectExcluded(r.start(), 3)
		r.expectRecorded("s-00000001", "s-00000002", "s-00000003")
	})
	t.Run("return", func(t *testing.T) {
		r := newReplacement(t)
		newer := r.start()
		r.mustSayYes(newer, "exclude s-00000001")
		r.mustSayYes(newer, "exclude s-00000002")
		r.mustSayYes(newer, "include s-00000002")
		older := r.startOlder()
		r.expectExcluded(older, 1)
		r.mustSayYes(older, "exclude s-00000003")
		r.expectExcluded(newer, 2)
		r.mustSayYes(older, "include s-00000001")
		r.expectExcluded(newer, 1)
		r.end(newer)
		r.mustSayYes(older, "exclude s-00000002")
		again := r.start()
		r.expectExcluded(again, 2)
		r.end(older)
		r.mustSayYes(again, "include s-00000003")
		r.end(again)
		r.expectExcluded(r.startOlder(), 1) // from a file that the newer build wrote last
	})
}
