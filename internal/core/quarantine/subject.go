package quarantine

// Subject is what a request is known by: its own key, and the keys of the parts of its prompt
// that other requests may share.
type Subject struct {
	Request Key
	Parts   []Key
}
