package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

// shareDivisor returns what the capacity for a service is divided by to get this process's part:
// the number of gateways, or the inverse of its share of the demand where gateways coordinate the
// admission. The caller holds the lock.
func (t *Table) shareDivisor(s *catalog.Service, now time.Time) float64 {
	if d := t.demandFor(s, now); d.Known && d.OwnShare > 0 {
		return max(1, 1/d.OwnShare)
	}
	return float64(max(1, t.gateways))
}
