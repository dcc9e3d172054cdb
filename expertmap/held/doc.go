// Package held switches a lock-step group from one expert map to the next where
// the ranks themselves only obey orders: prepare a map, arm it for a step, hold a
// step, go on. It decides from what the ranks show, not from what it remembers,
// so a new keeper goes on where a former one stopped.
//
// The order of a switch: all ranks prepare the map; one rank holds a step that
// has not begun, which holds the whole group there; all ranks arm the map for
// that step; the held rank goes on. Once the hold is seen the switch only rolls
// forward, since an order that got no answer may still be carried out later: no
// map is ever disarmed, and a held step is let go only when all ranks are armed
// for it, or when no rank can be.
//
// Carrying orders, fencing former keepers, and choosing maps are left to the
// callers.
package held
