package returns

// Arrival is what an arriving request is, by the claims.
type Arrival uint8

const (
	// ArrivalNew is a request without an open claim, or one whose window has passed.
	ArrivalNew Arrival = iota
	// ArrivalEarly is a request whose caller was told to return later. It keeps its claim.
	ArrivalEarly
	// ArrivalAsTold is a request whose caller returned when it was told to, but was promised no room.
	ArrivalAsTold
	// ArrivalPromised is one whose caller was promised room.
	ArrivalPromised
)

// String returns the form used in logs.
func (a Arrival) String() string {
	switch a {
	case ArrivalEarly:
		return "early"
	case ArrivalAsTold:
		return "as-told"
	case ArrivalPromised:
		return "promised"
	case ArrivalNew:
	}
	return "new"
}
