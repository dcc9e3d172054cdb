package fleet

import graniteknot "graniteknot.org/go"

// SoftwareVersions returns the software versions of each service's replicas, except for replicas
// that are leaving or have ended.
func (t *Table) SoftwareVersions() map[graniteknot.Service]map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[graniteknot.Service]map[string]bool, len(t.services))
	for service, targets := range t.services {
		versions := map[string]bool{}
		for _, x := range targets {
			if !x.ending() {
				versions[x.replica.Version] = true
			}
		}
		out[service] = versions
	}
	return out
}
