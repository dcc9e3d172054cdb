package route_test

import (
	"fmt"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/route"
)

// A target that leaves gets nothing; the other one does.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	table := &route.Table{Policy: route.LeastLatency{}}
	table.SetTargets([]graniteknot.Address{"10.0.0.1:80", "10.0.0.2:80"}, now)
	table.UpdateLoad("10.0.0.1:80", route.Load{Incarnation: 1, Slots: 8, Leaving: true}, now)
	choice, ok := table.Choose(&route.Query{Now: now})
	fmt.Println(choice.Address, ok)
	table.Done(choice.Address, route.ResultAnswered, now)
	// Output:
	// 10.0.0.2:80 true
}
