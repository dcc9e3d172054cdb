package quarantine

import (
	"slices"

	"graniteknot.org/go/catalog"
)

// assignBlame returns the parts that crash replicas, by what is known of all parts, and the
// crashes that these explain. Parts
// that were never served come first. Among these the ones with the most crashes are blamed,
// and explain their crashes; a part that was merely in progress at the same crashes is then
// left with too few of its own. A part that was never served and was blamed before remains
// so until others explain all of its crashes.
//
// Parts that were in progress at exactly the same crashes cannot be told apart. Until one
// more crash, which mostly tells which of them it is, only requests with all of them are to
// blame.
func assignBlame(entries map[Key]*tableEntry) (map[Key]*blame, map[catalog.Mark]bool) {
	a := assignment{blames: map[Key]*blame{}, explained: map[catalog.Mark]bool{}}
	for _, servedBefore := range []bool{false, true} {
		var candidates []*tableEntry
		for _, e := range entries {
			if e.Part && e.ServedBefore == servedBefore && e.Quarantined() {
				candidates = append(candidates, e)
			}
		}
		a.assign(candidates)
	}
	return a.blames, a.explained
}

// blame is what a part is blamed for.
type blame struct {
	// tied are the other parts that were in progress at exactly the same crashes.
	tied []Key
	// jointly is set if only requests with all of the tied parts are to blame.
	jointly bool
}

// assignment is the state of assignBlame.
type assignment struct {
	blames map[Key]*blame
	// explained holds the crashes of the blamed parts.
	explained map[catalog.Mark]bool
}

// assign blames parts until the crashes of all others are explained.
func (a *assignment) assign(candidates []*tableEntry) {
	for {
		next := a.mostCrashes(candidates)
		if len(next) == 0 {
			return
		}
		for _, e := range next {
			a.blames[e.Key] = a.blameFor(e, next)
		}
		for _, e := range next {
			if !a.blames[e.Key].jointly {
				a.explain(e)
			}
		}
		candidates = slices.DeleteFunc(candidates, func(e *tableEntry) bool { return slices.Contains(next, e) })
	}
}

func (a *assignment) explain(e *tableEntry) {
	for _, mark := range e.CrashedReplicas {
		a.explained[mark] = true
	}
}

// mostCrashes returns the candidates with the most crashes that nothing explains, if these
// are enough.
func (a *assignment) mostCrashes(candidates []*tableEntry) []*tableEntry {
	var out []*tableEntry
	most := 0
	for _, e := range candidates {
		n := e.openCrashCount(a.explained)
		if n < e.minUnexplained() || n < most {
			continue
		}
		if n > most {
			out, most = nil, n
		}
		out = append(out, e)
	}
	return out
}

// minUnexplained is the least number of unexplained crashes to blame the part.
func (e *Entry) minUnexplained() int {
	if e.Blamed && !e.ServedBefore {
		return 1
	}
	return e.threshold()
}

// blameFor returns the blame of one of the parts that are blamed next.
func (a *assignment) blameFor(e *tableEntry, next []*tableEntry) *blame {
	out, open := &blame{}, e.openCrashes()
	for _, other := range next {
		if other != e && slices.Equal(open, other.openCrashes()) {
			out.tied = append(out.tied, other.Key)
		}
	}
	out.jointly = len(out.tied) > 0 && !e.Blamed && len(open) <= e.threshold()
	return out
}
