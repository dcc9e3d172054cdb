package gateway

import (
	"log/slog"

	graniteknot "graniteknot.org/go"
)

// softwareWatch notices that all replicas of a service have been replaced by ones with other
// software. The zero value has seen nothing.
type softwareWatch struct {
	seen map[graniteknot.Service]map[string]bool
}

// replaced reports the services none of whose versions was there when they were first seen, or
// last replaced. A service without replicas is not replaced.
func (w *softwareWatch) replaced(versions map[graniteknot.Service]map[string]bool) []graniteknot.Service {
	if w.seen == nil {
		w.seen = map[graniteknot.Service]map[string]bool{}
	}
	var out []graniteknot.Service
	for service, now := range versions {
		before := w.seen[service]
		if len(now) == 0 || intersects(before, now) {
			continue
		}
		w.seen[service] = now
		if before != nil {
			out = append(out, service)
		}
	}
	return out
}

func intersects(a, b map[string]bool) bool {
	for v := range a {
		if b[v] {
			return true
		}
	}
	return false
}

// watchSoftware lets quarantined prompt parts be tried again once the software of a service's
// replicas has been replaced.
func (g *Gateway) watchSoftware() {
	if g.Quarantine.QuarantinedParts() == 0 {
		g.software = softwareWatch{}
		return
	}
	for _, service := range g.software.replaced(g.Fleet.SoftwareVersions()) {
		g.Log.Info("software replaced", slog.String("service", string(service)))
		g.Quarantine.TryAgain()
	}
}
