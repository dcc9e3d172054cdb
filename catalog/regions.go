package catalog

import (
	"slices"
	"strings"

	graniteknot "graniteknot.org/go"
)

// Region is a place where zones are.
type Region string

// ZoneRegions names the regions of zones as "zone=region" pairs separated by commas. It is a text so
// that settings that contain it can be compared. The zero value knows no region.
type ZoneRegions string

// Add returns the same with one more zone; a zone that is known keeps its region.
func (z ZoneRegions) Add(zone graniteknot.AvailabilityZone, region Region) ZoneRegions {
	if zone == "" || region == "" || z.Region(zone) != "" {
		return z
	}
	pair := ZoneRegions(zone) + "=" + ZoneRegions(region)
	if z == "" {
		return pair
	}
	return z + "," + pair
}

// Region returns a zone's region; empty if unknown.
func (z ZoneRegions) Region(zone graniteknot.AvailabilityZone) Region {
	for pair := range strings.SplitSeq(string(z), ",") {
		if name, region, _ := strings.Cut(pair, "="); name == string(zone) {
			return Region(region)
		}
	}
	return ""
}

// Zones returns the zones of some regions.
func (z ZoneRegions) Zones(regions []Region) []graniteknot.AvailabilityZone {
	var out []graniteknot.AvailabilityZone
	for pair := range strings.SplitSeq(string(z), ",") {
		if name, region, ok := strings.Cut(pair, "="); ok && slices.Contains(regions, Region(region)) {
			out = append(out, graniteknot.AvailabilityZone(name))
		}
	}
	return out
}

// AllowedRegions returns the regions that both a route and an account allow; restricted is false if
// both allow all. The account may be nil.
func AllowedRegions(r *Route, a *Account) (regions []Region, restricted bool) {
	if a == nil || len(a.Regions) == 0 {
		return r.Regions, len(r.Regions) > 0
	}
	if len(r.Regions) == 0 {
		return a.Regions, true
	}
	for _, region := range a.Regions {
		if slices.Contains(r.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}
