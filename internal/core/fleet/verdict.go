package fleet

var verdictWords = [...]string{"none", "good", "full", "bad", "gone"}

// String returns the word used in logs.
func (v Verdict) String() string { return verdictWords[v] }
