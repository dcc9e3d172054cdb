package load

// CallerKind is how the caller of an item speaks HTTP and reads responses.
type CallerKind int

// The kinds of callers.
const (
	// CallerDefault speaks HTTP/1.1 and reads at once.
	CallerDefault CallerKind = iota
	// CallerSlow speaks HTTP/1.1 and pauses between reads.
	CallerSlow
	// CallerHTTP10 speaks HTTP/1.0, so a response without a length ends with its connection.
	CallerHTTP10
	// CallerOnce is CallerDefault, but its streams may run once: it does not ask again for one that may have run.
	CallerOnce

	callerKinds = iota
)

// CallerKinds are all kinds of callers.
var CallerKinds = [callerKinds]CallerKind{CallerDefault, CallerSlow, CallerHTTP10, CallerOnce}

// String returns the name that reports use.
func (k CallerKind) String() string {
	switch k {
	case CallerSlow:
		return "slow"
	case CallerHTTP10:
		return "HTTP/1.0"
	case CallerOnce:
		return "run-once"
	case CallerDefault:
	}
	return "default"
}
