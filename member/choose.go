package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	graniteknot "graniteknot.org/go"
)

// NextProbe returns the next member to probe; false when there is none. Every
// other probe goes to a suspect while there is one: it learns of the suspicion
// from the probe itself and overrules it at once, in many places.
func (v *View) NextProbe() (graniteknot.Address, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.probes++
	if v.probes%2 == 0 {
		suspects := v.addresses(func(l *line) bool { return l.State == StateSuspect })
		if len(suspects) > 0 {
			return suspects[0], true
		}
	}
	for range 2 {
		for len(v.order) > 0 {
			a := v.order[len(v.order)-1]
			v.order = v.order[:len(v.order)-1]
			if l, ok := v.lines[a]; ok && l.State != StateDead {
				return a, true
			}
		}
		v.order = v.addresses(func(l *line) bool { return l.State != StateDead })
	}
	return "", false
}

// RandomPeers returns at most n random members that are not dead.
func (v *View) RandomPeers(n int, except graniteknot.Address) []graniteknot.Address {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.addresses(func(l *line) bool { return l.State < StateSuspect && l.Address != except })
	return out[:min(n, len(out))]
}

// RandomDead returns a random member thought dead, to look whether it is back after
// the regions were apart.
func (v *View) RandomDead() (graniteknot.Address, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.addresses(func(l *line) bool { return l.State == StateDead })
	if len(out) == 0 {
		return "", false
	}
	return out[0], true
}

// addresses returns the matching lines' addresses in random order.
func (v *View) addresses(match func(*line) bool) []graniteknot.Address {
	var out []graniteknot.Address
	for a, l := range v.lines {
		if match(l) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, compareAddress)
	v.shuffle(out)
	return out
}

func (v *View) shuffle(out []graniteknot.Address) {
	swap := func(i, j int) { out[i], out[j] = out[j], out[i] }
	if v.Rand == nil {
		rand.Shuffle(len(out), swap)
		return
	}
	v.Rand.Shuffle(len(out), swap)
}

func compareAddress(a, b graniteknot.Address) int { return cmp.Compare(a, b) }
