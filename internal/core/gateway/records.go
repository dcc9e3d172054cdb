package gateway

import (
	"fmt"
	"log/slog"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/meter"
)

// parseReplica parses a replica's record, and adds its service's warm-up rate. A record of a service that the configuration does not
// contain is an error: it could otherwise replace another replica at the same address.
func (g *Gateway) parseReplica(r graniteknot.KeyedRecord) (catalog.Replica, error) {
	replica, err := g.Translator.Replica(r)
	if err != nil {
		return replica, err
	}
	tree, _ := g.Catalog.Current(g.Clock.Now())
	if tree == nil {
		return replica, nil
	}
	service := tree.Service(replica.Service)
	if service == nil {
		return replica, fmt.Errorf("service %.80q is not configured", replica.Service)
	}
	replica.WarmupRate = service.WarmupRate
	return replica, nil
}

// reportMalformed counts an unusable record and logs it at a limited rate, since a writer to the
// store can write any number of them.
func (g *Gateway) reportMalformed(what string, r graniteknot.KeyedRecord, err error) {
	g.Meter.Count("graniteknot_malformed_records_total", meter.Label{Name: "record", Value: what})
	g.malformedLog.Warn(g.Log, "malformed "+what, r.Key, err.Error(), slog.Int64("position", r.At.Offset()))
}
