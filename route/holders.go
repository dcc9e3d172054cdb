package route

import "slices"

// lookup finds the usable holders of the longest known prefix.
func (t *Table) lookup(q *Query) {
	t.view.PrefixHolders, t.view.CachedFraction = t.view.PrefixHolders[:0], 0
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		list, ok := t.holders[q.Prefixes[i]]
		if !ok {
			continue
		}
		for _, target := range list.list {
			if t.holds(target, q.Prefixes[i]) && target.usable(q.Now) && !slices.Contains(q.Tried, target.Address) {
				t.view.PrefixHolders = append(t.view.PrefixHolders, target)
			}
		}
		if len(t.view.PrefixHolders) > 0 {
			t.view.CachedFraction = float64(i+1) / float64(len(q.Prefixes))
			return
		}
	}
}

// holds tells whether a target may still hold a prefix; targets that left the
// service may stand in the index still.
func (t *Table) holds(target *Target, prefix uint64) bool {
	return target != nil && t.byName[target.Address] == target && target.prefixes.has(prefix)
}

// remember notes that a target will hold a prefix.
func (t *Table) remember(target *Target, prefix uint64) {
	if target.prefixes.has(prefix) {
		return
	}
	target.prefixes.add(prefix)
	list, ok := t.holders[prefix]
	if !ok {
		t.makeRoom()
		list = &holderList{}
		t.holders[prefix] = list
	}
	if slices.Contains(list.list[:], target) {
		return
	}
	list.list[list.next] = target
	list.next = (list.next + 1) % maxHolders
}

func (t *Table) makeRoom() {
	if t.holders == nil {
		t.holders = map[uint64]*holderList{}
	}
	if len(t.holders) < maxIndexed {
		return
	}
	for h := range t.holders {
		delete(t.holders, h)
		return
	}
}

// learnPrefixes takes a report's word for what the cache holds, and adds the
// own dispatches that it can't show yet.
func (t *Table) learnPrefixes(target *Target, l Load) {
	if l.Prefixes == nil {
		return
	}
	target.prefixes.reset()
	for _, h := range l.Prefixes {
		t.remember(target, h)
	}
	for _, r := range target.recent.ring {
		if r.prefix != 0 && r.at.After(l.Measured) {
			t.remember(target, r.prefix)
		}
	}
}
