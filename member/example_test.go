package member_test

import (
	"fmt"
	"time"

	"graniteknot.org/go/member"
)

// A member that does not answer is suspected, and dead when it does not
// overrule the suspicion.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	var v member.View
	v.SetSelf(member.Member{Address: "10.0.0.1:80", Incarnation: 1, Role: member.RoleEntry})
	v.Merge([]member.Member{{Address: "10.0.0.2:80", Incarnation: 1, Role: member.RoleEntry}}, now)
	v.MarkUnreachable("10.0.0.2:80", now)
	m, _ := v.Get("10.0.0.2:80")
	fmt.Println(m.State)
	for _, died := range v.Tick(now.Add(member.DefaultSuspicionTimeout)) {
		fmt.Println(died.Address, died.State)
	}
	// Output:
	// suspect
	// 10.0.0.2:80 dead
}
