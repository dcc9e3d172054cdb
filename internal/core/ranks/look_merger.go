package ranks

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"graniteknot.org/go/internal/wire"
)

// lookMerger collects what was seen of ranks, once for all that show the same. The zero
// value is empty.
type lookMerger struct {
	mu     sync.Mutex
	merged []*wire.LookAlike
}

// add takes in what was seen at some places. What tells ranks apart and the keeper
// knows is left out.
func (a *lookMerger) add(look *wire.LookReply, places ...int32) {
	look.Rank, look.Group, look.Target = 0, "", ""
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.merged {
		if proto.Equal(one.GetLook(), look) {
			one.Places = append(one.Places, places...)
			return
		}
	}
	a.merged = append(a.merged, &wire.LookAlike{Look: look, Places: places})
}

// reply returns what was collected.
func (a *lookMerger) reply() *wire.LookAllReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.LookAllReply{Alike: a.merged}
}
