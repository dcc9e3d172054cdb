package ranks

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"graniteknot.org/go/internal/wire"
)

// lookMerger collects look replies and merges identical ones, so that a state shared by
// many ranks is sent once. The zero value is ready to use.
type lookMerger struct {
	mu     sync.Mutex
	merged []*wire.LookAlike
}

// add records the reply of the ranks at the given positions in the request. It clears the
// fields that differ between ranks, which the coordinator knows already.
func (m *lookMerger) add(look *wire.LookReply, positions ...int32) {
	look.Rank, look.Group, look.Target = 0, "", ""
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, existing := range m.merged {
		if proto.Equal(existing.GetLook(), look) {
			existing.Places = append(existing.Places, positions...)
			return
		}
	}
	m.merged = append(m.merged, &wire.LookAlike{Look: look, Places: positions})
}

// reply returns the merged replies.
func (m *lookMerger) reply() *wire.LookAllReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.LookAllReply{Alike: m.merged}
}
