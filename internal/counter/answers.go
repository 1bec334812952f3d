package counter

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/http1"
)

// readAnswers reads answers and settles the calls in flight with them, in order, until the connection is of no more use. It
// returns the call whose answer it then waited for, if any. A connection is dead if a call was in flight for silenceLimit
// without an answer; that finds a peer that has vanished.
func readAnswers(conn net.Conn, inFlight <-chan *call, silenceLimit time.Duration) (unanswered *call) {
	r := bufio.NewReaderSize(conn, http1.MaxLine+2)
	deadline := time.Now()
	var oldest *call // in flight
	for {
		// The end of an idle connection can come before a call does, so wait for either: the deadline makes this
		// goroutine look for a call.
		conn.SetReadDeadline(deadline)
		_, err := r.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return oldest
		}
		if oldest == nil {
			select {
			case oldest = <-inFlight:
			default:
			}
		}
		switch {
		case err == nil && oldest == nil: // unsolicited: it would be taken for the answer to the next call
			return nil
		case err == nil:
			conn.SetReadDeadline(time.Now().Add(answerTimeout)) // a malformed answer need have no end
			a := readAnswer(r)
			oldest.settle(callWritten, a.outcome, a.total)
			if !a.reusable {
				return nil
			}
			oldest = nil
		case oldest != nil && time.Since(oldest.writtenAt) >= silenceLimit:
			return oldest
		}
		// The limit counts from when the oldest call was written: one written just before a deadline is not overdue.
		deadline = time.Now().Add(silenceLimit)
		if oldest != nil {
			deadline = oldest.writtenAt.Add(silenceLimit)
		}
	}
}

// answer is what an answer says of its call.
type answer struct {
	outcome  dw.Outcome
	total    float64 // of the counter, in units; if the outcome is dw.OutcomeOK
	reusable bool    // further answers can be read from the connection
}

// unknown is the outcome of an answer that can't be understood: the amount may have been added, and nobody knows where the
// next answer begins.
var unknown = answer{outcome: dw.OutcomeTimeout}

// readAnswer reads one answer.
func readAnswer(r *bufio.Reader) answer {
	head, err := http1.ReadAnswer(r)
	if err != nil {
		return unknown
	}
	body, err := http1.ReadBody(r, head)
	if err != nil {
		return unknown
	}
	switch head.Status {
	case 200:
		total, err := strconv.ParseFloat(string(bytes.TrimSpace(body)), 64)
		if err != nil || total-total != 0 { // ParseFloat accepts NaN and infinity
			return unknown
		}
		return answer{outcome: dw.OutcomeOK, total: total, reusable: !head.Close}
	case 503, 400, 404: // nothing was added
		return answer{outcome: dw.OutcomeRejected, reusable: !head.Close}
	}
	return unknown
}
