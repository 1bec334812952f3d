package dewhitch

// verdict is the decision of one rule on a request.
type verdict struct {
	admitted   bool
	reason     Reason // of the rejection
	retryAfter Span   // of the rejection; 0 or below: no advice
}

// admit is the verdict of a rule that has nothing against the request.
func admit() verdict { return verdict{admitted: true} }

// deny is the verdict of a rule that rejects the request.
func deny(reason Reason, retryAfter Span) verdict {
	return verdict{reason: reason, retryAfter: retryAfter}
}
