package expertmap_test

import (
	"fmt"

	"graniteknot.org/go/expertmap"
)

// A group of one rank is formed and switches to the second map.
func Example() {
	keeper := expertmap.Coordinator{Incarnation: 1, Ranks: 1, InitialVersion: 1}
	rank := expertmap.Rank{}
	exchange := func(messages []expertmap.Message) {
		for len(messages) > 0 {
			answer, ok, load := rank.Handle(messages[0])
			if load != 0 {
				rank.MarkLoaded(load)
				answer, ok, _ = rank.Handle(messages[0])
			}
			messages = messages[1:]
			if ok {
				messages = append(messages, keeper.Handle(answer)...)
			}
		}
	}
	exchange(keeper.Tick())
	messages, err := keeper.Switch(2)
	exchange(messages)
	for range 3 {
		version, ok := rank.BeginStep()
		fmt.Println(version, ok)
	}
	fmt.Println(keeper.Phase(), err)
	// Output:
	// 1 true
	// 2 true
	// 2 true
	// idle <nil>
}
