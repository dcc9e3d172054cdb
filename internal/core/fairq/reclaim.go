package fairq

import graniteknot "graniteknot.org/go"

// reclaim asks borrowed slots back for partners that wait below their share.
func (q *Queue) reclaim() {
	if q.NoIsolation {
		return
	}
	for name, p := range q.partners {
		missing := min(len(p.waiting), int(q.entitled(name))-p.running) - q.yieldingExcept(name)
		for ; missing > 0; missing-- {
			victim := q.victim(name)
			if victim == nil {
				return
			}
			victim.yielded = true
			q.partner(victim.item.Partner).yielding++
			q.stats.Yielded++
			close(victim.yield)
		}
	}
}

func (q *Queue) yieldingExcept(name graniteknot.Partner) int {
	n := 0
	for other, p := range q.partners {
		if other != name {
			n += p.yielding
		}
	}
	return n
}

// victim returns the youngest slot that can yield of a partner that holds more
// than its share.
func (q *Queue) victim(except graniteknot.Partner) *Slot {
	var best *Slot
	for s := range q.running {
		name := q.name(s.item.Partner)
		p := q.partner(name)
		over := float64(p.running-p.yielding) > q.entitled(name)
		if name == except || s.yielded || !s.item.Yields || !over {
			continue
		}
		if best == nil || s.started > best.started {
			best = s
		}
	}
	return best
}
