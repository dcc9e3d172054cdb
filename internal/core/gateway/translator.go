package gateway

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/evacuation"
	"graniteknot.org/go/internal/core/forward"
)

// Translator converts between a platform's formats and the product's.
type Translator interface {
	forward.Codec
	// Tree parses a settings record; it returns nil for a record that is no configuration.
	Tree(r graniteknot.KeyedRecord) (*catalog.Tree, error)
	// Evacuation parses a settings record about an evacuated zone; it returns false for one about
	// something else.
	Evacuation(r graniteknot.KeyedRecord) (evacuation.Change, bool)
	// Replica parses a replica's record.
	Replica(r graniteknot.KeyedRecord) (catalog.Replica, error)
	// Request parses a caller's request except for its body. On an error the request holds what
	// could be parsed.
	Request(r *http.Request, arrived time.Time) (*forward.Request, error)
	// Answer copies the headers of a replica's response to the caller's.
	Answer(from, to http.Header)
	// Refusal sets the headers of a failure response of the product's own; again is the time after
	// which to retry, if not zero.
	Refusal(to http.Header, id graniteknot.RequestID, again time.Duration)
	// AskedFor parses an address query, Addresses writes the response to it.
	AskedFor(r *http.Request) AddressQuery
	Addresses(w http.ResponseWriter, list []graniteknot.Address, life time.Duration) error
	// ReadyPath and DirectoryPath are the URL paths of the readiness check and of address queries.
	ReadyPath() string
	DirectoryPath() string
}

// AddressQuery is a caller's query for gateway addresses.
type AddressQuery struct {
	Host   string
	Region string
	Zone   graniteknot.AvailabilityZone
}
