package settings

// object mirrors the settings object that the platform and the simulator write. The names of its fields are the keys; other
// keys are ignored. Times are in nanoseconds.
type object struct {
	Az    int
	Areas []string
	Caps  struct {
		ConnIdle, ConnectTimeout, MaxRetryAfter                    int64
		MayCancel, ParallelTries, PeerMessages, Probes, RetryAfter bool
		TryLimit                                                   int
	}
	Contracts []struct {
		Name                                                                            string
		BeyondEarns, CapRate, Depth, HardBurst, OverrunCost, Pays, QuotaRate, Tolerance float64
		Open                                                                            int
	}
	FamilyInfo struct {
		CountFee              float64
		CountLimit, UsePeriod int64
		Counter, TruedUp      bool
		UnitsTop              float64
	}
	Feedback struct {
		Fields []string
		Source string
	}
	Kinds          []string
	MembershipMode string
	MyNumber       int
	NInstances     int
	RequestClasses []struct {
		Aim, Deadline, DedupWindow    int64
		AimStretch, LateWorth, Points float64
		Effect, Group, Name           string
		Streaming                     bool
	}
	Rules struct {
		AnswerSlack, AskWithin, Cold, Fall, StopSendingWithin int64
		FallMultiple, StartCapacity                           float64
	}
	Tariffs struct{ CrossZone, LateFail, Probe, Waste float64 }
	Tick    int64
	Weights string
}
