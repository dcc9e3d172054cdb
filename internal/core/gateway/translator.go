package gateway

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
)

// Translator knows the words of a platform.
type Translator interface {
	forward.Codec
	// Tree reads a settings record; nil for a record that is no configuration.
	Tree(r graniteknot.KeyedRecord) (*catalog.Tree, error)
	// Replica reads a replica's record.
	Replica(r graniteknot.KeyedRecord) (catalog.Replica, error)
	// Request reads a caller's request but for its body. After an error the
	// request holds what could be read.
	Request(r *http.Request, arrived time.Time) (*forward.Request, error)
	// Answer writes a replica's headers to the caller's answer.
	Answer(from, to http.Header)
	// Refusal writes the headers of the product's own failures.
	Refusal(to http.Header, id graniteknot.RequestID, again time.Duration)
	// AskedFor reads a question for addresses, Addresses answers it.
	AskedFor(r *http.Request) AddressQuery
	Addresses(w http.ResponseWriter, list []graniteknot.Address, life time.Duration) error
	// ReadyPath and DirectoryPath are where readiness and addresses are asked.
	ReadyPath() string
	DirectoryPath() string
}

// AddressQuery is a caller's question for addresses.
type AddressQuery struct {
	Host   string
	Region string
	Zone   graniteknot.AvailabilityZone
}
