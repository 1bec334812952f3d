package dewhitch

// verdict is the decision of one rule on a request.
type verdict struct {
	admitted   bool
	reason     Reason // reason of a rejection
	retryAfter Span   // time to wait before a retry; 0 or below: no advice
}

// admit returns the verdict of a rule that does not reject the request.
func admit() verdict { return verdict{admitted: true} }

// deny returns the verdict of a rule that rejects the request.
func deny(reason Reason, retryAfter Span) verdict {
	return verdict{reason: reason, retryAfter: retryAfter}
}
