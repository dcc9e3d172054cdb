package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/presence"
)

// maxAddresses is the most addresses that callers accept in one answer.
const maxAddresses = 64

// ownZoneAddresses is how many of them are of the caller's availability zone if there are more
// gateways. The others keep callers served while their zone is down.
const ownZoneAddresses = maxAddresses * 3 / 4

// selectForZone selects the gateways that callers of a zone are told of, if there are more than
// an answer holds. All gateways that know the same members select the same ones, so that callers
// who ask several of them keep their connections, and each zone's callers use others.
func selectForZone(all []presence.Member, zone graniteknot.AvailabilityZone) []presence.Member {
	if len(all) <= maxAddresses {
		return all
	}
	type candidate struct {
		member presence.Member
		hash   uint64
	}
	var own, others []candidate
	for _, m := range all {
		c := candidate{m, xxhash.Sum64String(string(zone) + "\x00" + string(m.Box))}
		if m.Zone == zone {
			own = append(own, c)
		} else {
			others = append(others, c)
		}
	}
	byHash := func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(own, byHash)
	slices.SortFunc(others, byHash)
	fromOwn := max(min(len(own), ownZoneAddresses), maxAddresses-len(others))
	var out []presence.Member
	for _, c := range slices.Concat(own[:fromOwn], others[:maxAddresses-fromOwn]) {
		out = append(out, c.member)
	}
	return out
}

// regionFirst returns the gateways of a region before the others; callers use the first addresses
// first. The order is unchanged where the region or all of its zones are unknown.
func regionFirst(all []presence.Member, zones catalog.ZoneRegions, region catalog.Region) []presence.Member {
	if region == "" {
		return all
	}
	out := make([]presence.Member, 0, len(all))
	for _, own := range []bool{true, false} {
		for _, m := range all {
			if (zones.Region(m.Zone) == region) == own {
				out = append(out, m)
			}
		}
	}
	return out
}
