package quarantine

import (
	"graniteknot.org/go/catalog"
)

// assignBlame returns the parts that crash replicas, by what is known of all parts. Parts
// that were never served come first. Among these the ones with the most crashes are blamed,
// and explain their crashes; a part that was merely in progress at the same crashes is then
// left with too few of its own. Parts that were in progress at exactly the same crashes
// cannot be told apart, and are all blamed. A part that was never served and was blamed
// before remains so until others explain all of its crashes.
func assignBlame(entries map[Key]*tableEntry) map[Key]bool {
	blamed, explained := map[Key]bool{}, map[catalog.Mark]bool{}
	for _, servedBefore := range []bool{false, true} {
		for {
			next := mostCrashes(entries, servedBefore, blamed, explained)
			if len(next) == 0 {
				break
			}
			for _, e := range next {
				blamed[e.Key] = true
				for _, mark := range e.CrashedReplicas {
					explained[mark] = true
				}
			}
		}
	}
	return blamed
}

// mostCrashes returns the parts to blame next: those with the most crashes that nothing
// explains, if these are enough.
func mostCrashes(entries map[Key]*tableEntry, servedBefore bool, blamed map[Key]bool, explained map[catalog.Mark]bool) []*tableEntry {
	var out []*tableEntry
	most := 0
	for _, e := range entries {
		if !e.Part || e.ServedBefore != servedBefore || blamed[e.Key] || !e.Quarantined() {
			continue
		}
		needed := e.threshold()
		if e.Blamed && !e.ServedBefore {
			needed = 1
		}
		n := e.openCrashCount(explained)
		if n < needed || n < most {
			continue
		}
		if n > most {
			out, most = out[:0], n
		}
		out = append(out, e)
	}
	return out
}
