package limit_test

import (
	"fmt"
	"time"

	"graniteknot.org/go/limit"
)

// A home lends an account's limit of four requests a second to one process.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	name := limit.AccountName{Partner: "herbarium", Account: "station"}
	rates := limit.Rates{Requests: 4, Processes: 1, AliveProcesses: 1}
	var home limit.Lender
	var account limit.Account
	ask := func(want limit.Amount) (limit.Amount, bool) { return home.Lend(now, name, rates, want), true }
	for range 2 {
		wait, ok := account.Admit(now, rates, 0, ask)
		fmt.Println(ok, wait)
	}
	// Output:
	// true 0s
	// false 250ms
}
