package claim

import "time"

// slotWidth is how exactly records are forgotten.
const slotWidth = 2 * time.Second

// dueBatch bounds the work that one call of Admit or Withdraw does for
// others.
const dueBatch = 32

// wheel lists ids by the slot of time in which to look at them again.
type wheel struct {
	slots map[int64][]ID
	// done is the last slot that was emptied; 0 before the first call.
	done int64
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotWidth) }

func (w *wheel) add(at time.Time, id ID) {
	if w.slots == nil {
		w.slots = map[int64][]ID{}
	}
	slot := max(slotOf(at)+1, w.done+1)
	w.slots[slot] = append(w.slots[slot], id)
}

// due takes at most dueBatch ids whose slot has passed.
func (w *wheel) due(now time.Time) []ID {
	last := slotOf(now)
	if w.done == 0 || len(w.slots) == 0 {
		w.done = last
		return nil
	}
	for ; w.done < last; w.done++ {
		ids := w.slots[w.done+1]
		if len(ids) > dueBatch {
			w.slots[w.done+1] = ids[:len(ids)-dueBatch]
			return ids[len(ids)-dueBatch:]
		}
		if len(ids) > 0 {
			delete(w.slots, w.done+1)
			w.done++
			return ids
		}
	}
	return nil
}
