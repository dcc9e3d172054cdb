// Package services speaks to the platform's services over HTTP and JSON: the
// append-only log and the list of boxes. The protocol is the one that the
// stand-ins in internal/standin serve; a partner whose platform speaks another
// one puts another implementation of the root package's interfaces here.
package services

// The paths of the platform's services.
const (
	// RecordsPath takes appends and reads of a stream.
	RecordsPath = "/streams/{stream}/records"
	// BoxesPath lists the boxes.
	BoxesPath = "/boxes"
)
