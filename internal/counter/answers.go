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

// readAnswers reads answers and settles the calls in flight with them, in order, until no further answer can be read from the
// connection. It returns the call whose answer was outstanding at that time, or nil. If a call gets no answer within
// unansweredTimeout, readAnswers gives up the connection: this detects a peer that no longer exists or can't be reached.
func readAnswers(conn net.Conn, inFlight <-chan *call, unansweredTimeout time.Duration) (unanswered *call) {
	r := bufio.NewReaderSize(conn, http1.MaxLine+2)
	deadline := time.Now()
	var oldest *call // oldest call in flight; nil if none is known
	for {
		// An idle connection can end before the next call arrives, so this goroutine waits for both: at the read deadline
		// it checks inFlight for a call.
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
		case err == nil && oldest == nil: // an unsolicited answer, which would be paired with the next call
			return nil
		case err == nil:
			conn.SetReadDeadline(time.Now().Add(answerTimeout)) // a malformed answer might never end
			a := readAnswer(r)
			oldest.settle(callWritten, a.outcome, a.total)
			if !a.reusable {
				return nil
			}
			oldest = nil
		case oldest != nil && time.Since(oldest.writtenAt) >= unansweredTimeout:
			return oldest
		}
		// The limit counts from the time when the oldest call was written, so a call that was written just before a read
		// deadline is not overdue at that deadline.
		deadline = time.Now().Add(unansweredTimeout)
		if oldest != nil {
			deadline = oldest.writtenAt.Add(unansweredTimeout)
		}
	}
}

// answer is the decoded answer to a call.
type answer struct {
	outcome  dw.Outcome
	total    float64 // the counter's new total in units; only valid if the outcome is dw.OutcomeOK
	reusable bool    // true if further answers can be read from the connection
}

// unknownAnswer stands for an answer that can't be parsed: the amount may have been added, and the start of the next answer
// can't be found.
var unknownAnswer = answer{outcome: dw.OutcomeTimeout}

// readAnswer reads one answer. It returns unknownAnswer if the answer can't be read or parsed.
func readAnswer(r *bufio.Reader) answer {
	head, err := http1.ReadResponse(r)
	if err != nil {
		return unknownAnswer
	}
	body, err := http1.ReadBody(r, head)
	if err != nil {
		return unknownAnswer
	}
	switch head.Status {
	case 200:
		total, err := strconv.ParseFloat(string(bytes.TrimSpace(body)), 64)
		if err != nil || total-total != 0 { // ParseFloat accepts NaN and infinity
			return unknownAnswer
		}
		return answer{outcome: dw.OutcomeOK, total: total, reusable: !head.Close}
	case 503, 400, 404: // the counter added nothing
		return answer{outcome: dw.OutcomeRejected, reusable: !head.Close}
	}
	return unknownAnswer
}
