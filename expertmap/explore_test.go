package expertmap_test

import (
	"fmt"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap"
)

// world is one state of a small group: every command that was ever sent may
// still arrive, any number of times, in any order, or never. So loss, delay,
// doubling and reordering are all in the choice of what arrives next.
type world struct {
	keeper expertmap.Coordinator
	ranks  [3]expertmap.Rank
	// sent is a set of numbers of the explorer's messages, a bit for each.
	sent [maxSent / 64]uint64
	// ran holds the map that each step of each formation was begun with.
	ran   [maxGroup][maxStep]uint8
	lives int
	// switched and lost tell that the one switch and the one death happened.
	switched, lost bool
}

const (
	maxGroup = 4
	maxStep  = 4
	maxSent  = 128
	oldMap   = expertmap.Version(1)
	newMap   = expertmap.Version(2)
)

// explorer visits every state that can be reached.
type explorer struct {
	seen  map[world]struct{}
	stack []world
	// messages numbers every message.
	messages []expertmap.Message
	numbers  map[expertmap.Message]int
	// all keeps the commands that can't have an effect any more.
	all bool
	// rankDies lets one rank die; else the keeper does.
	rankDies bool
	broken   string
}

func (e *explorer) send(w *world, messages []expertmap.Message) {
	for _, m := range messages {
		n, known := e.numbers[m]
		if !known {
			n = len(e.messages)
			e.messages = append(e.messages, m)
			e.numbers[m] = n
		}
		w.sent[n/64] |= 1 << (n % 64)
	}
}

// newWorld is a formed group in which every rank begins step 1 with the old
// map.
func newWorld() world {
	w := world{keeper: expertmap.Coordinator{Incarnation: 1, Ranks: 3, InitialVersion: oldMap, Lead: 1}, lives: 1}
	for i := range w.ranks {
		w.ranks[i] = expertmap.Rank{ID: graniteknot.Rank(i)}
	}
	queue := w.keeper.Tick()
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		r := &w.ranks[m.Rank]
		answer, ok, load := r.Handle(m)
		if load != 0 {
			r.MarkLoaded(load)
			answer, ok, _ = r.Handle(m)
		}
		if ok {
			queue = append(queue, w.keeper.Handle(answer)...)
		}
	}
	return w
}

// next adds every state that one event leads to.
func (e *explorer) next(w *world) {
	for i := range w.ranks {
		e.begin(w, i)
	}
	for n := range e.messages {
		if w.sent[n/64]&(1<<(n%64)) != 0 {
			e.arrive(w, e.messages[n])
		}
	}
	if !w.switched && w.keeper.Phase() == expertmap.PhaseIdle {
		c := *w
		c.switched = true
		messages, _ := c.keeper.Switch(newMap)
		e.send(&c, messages)
		e.push(&c)
	}
	if w.switched {
		c := *w
		e.send(&c, c.keeper.Abort())
		if c != *w {
			e.push(&c)
		}
	}
	e.die(w)
}

// die kills the keeper or a rank, once.
func (e *explorer) die(w *world) {
	if w.lost {
		return
	}
	for i := range w.ranks {
		if !e.rankDies && i > 0 {
			break
		}
		c := *w
		c.lost = true
		c.lives++
		if e.rankDies {
			c.ranks[i] = expertmap.Rank{ID: graniteknot.Rank(i), Incarnation: graniteknot.Incarnation(c.lives)}
			c.lives++
			e.send(&c, c.keeper.Restart(graniteknot.Incarnation(c.lives)))
		} else {
			c.keeper = expertmap.Coordinator{Incarnation: graniteknot.Incarnation(c.lives), Ranks: 3, InitialVersion: oldMap, Lead: 1}
			e.send(&c, c.keeper.Tick())
		}
		e.push(&c)
	}
}

func (e *explorer) begin(w *world, i int) {
	state := w.ranks[i].State()
	if state.NextStep >= maxStep {
		return
	}
	c := *w
	version, ok := c.ranks[i].BeginStep()
	if !ok {
		return
	}
	ran := &c.ran[state.Epoch][state.NextStep]
	if *ran != 0 && *ran != uint8(version) {
		e.broken = fmt.Sprintf("step %d of formation %d ran with maps %d and %d", state.NextStep, state.Epoch, *ran, version)
	}
	*ran = uint8(version)
	e.push(&c)
}

// arrive brings a command to its rank. The answer comes back at once, or is
// lost; late answers are left to the random runs, to keep the states few.
func (e *explorer) arrive(w *world, m expertmap.Message) {
	c := *w
	r := &c.ranks[m.Rank]
	answer, ok, load := r.Handle(m)
	if load != 0 {
		r.MarkLoaded(load)
		answer, ok, _ = r.Handle(m)
	}
	if c != *w {
		lost := c
		e.push(&lost)
	}
	if !ok {
		return
	}
	e.send(&c, c.keeper.Handle(answer))
	if c != *w {
		e.push(&c)
	}
}

// dead tells whether a command can't have an effect any more, since its rank
// no longer listens to its keeper. Leaving these out keeps the states few.
func (e *explorer) dead(w *world, m expertmap.Message) bool {
	return m.Coordinator < w.ranks[m.Rank].Coordinator() && !e.all
}

func (e *explorer) push(w *world) {
	for n, m := range e.messages {
		if e.dead(w, m) {
			w.sent[n/64] &^= 1 << (n % 64)
		}
	}
	if _, seen := e.seen[*w]; seen {
		return
	}
	e.seen[*w] = struct{}{}
	e.stack = append(e.stack, *w)
}

// explore visits states until all were seen, a promise is broken, or limit.
func (e *explorer) explore(limit int) bool {
	e.seen = map[world]struct{}{}
	e.numbers = map[expertmap.Message]int{}
	first := newWorld()
	e.push(&first)
	for len(e.stack) > 0 && e.broken == "" {
		if len(e.seen) > limit {
			return false
		}
		w := e.stack[len(e.stack)-1]
		e.stack = e.stack[:len(e.stack)-1]
		e.next(&w)
	}
	return true
}
