package main

// Classes and plans as in the example of the wire page.

func safeClass() object {
	return object{"Aim": 1500e6, "Deadline": 4000e6, "DedupWindow": 0, "Effect": "safe", "Group": "all", "LateWorth": 0.0,
		"Name": "space-query", "Points": 1.0, "Streaming": false}
}

func keyedClass() object {
	return object{"Aim": 2000e6, "Deadline": 5000e6, "DedupWindow": 3000e6, "Effect": "keyed", "Group": "all", "LateWorth": 0.2,
		"Name": "booking", "Points": 5.0, "Streaming": false}
}

// widePlan has a quota that the cases never reach, and no ceiling.
func widePlan() object {
	return object{"BeyondEarns": 0.0, "CapRate": 0.0, "Depth": 2000.0, "HardBurst": 0.0, "Name": "basic", "Open": 0, "OverrunCost": 0.8,
		"Pays": 0.8, "QuotaRate": 500.0, "Tolerance": 0.0}
}
