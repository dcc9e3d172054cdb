package forward

import (
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// allowedZones returns the zones of the regions that the request's route and account allow.
func (r *inflightRequest) allowedZones() fleet.ZoneRestriction { return r.f.AllowedZones(r.request) }

// AllowedZones returns the zones of the regions that a request's route and account allow.
func (f *Forwarder) AllowedZones(request *RoutedRequest) fleet.ZoneRestriction {
	regions, restricted := catalog.AllowedRegions(request.Route, request.Account)
	if !restricted {
		return fleet.ZoneRestriction{}
	}
	return fleet.ZoneRestriction{Restricted: true, Zones: f.Regions.Zones(regions)}
}
