package fleet

var verdictNames = [...]string{"none", "good", "full", "bad", "gone"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }
