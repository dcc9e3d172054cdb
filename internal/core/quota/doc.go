// Package quota deals out limits that hold over all processes together. A replica names how
// many requests a second it takes from all gateways, and each gateway sees only what it
// sends itself. So one process, the home of the limit, deals out permits: each is for one
// request, from a time on, and lapses soon after. Who has requests asks; who has none holds
// nothing back from the others.
//
// The sum holds by construction: a home never deals more than share of the rate, and saves
// nothing up, so that in any span no more requests come than permits were valid in it. Lost,
// late and doubled messages waste permits and make none. Two homes at a time, as while
// processes differ in who lives, deal out twice as much until they agree.
//
// The package sends nothing and has no clock: it can be played in virtual time.
package quota
