// Package quota enforces rate limits that hold over all processes together. A replica states
// how many requests a second it takes from all gateways, and each gateway sees only what it
// sends itself. So one process, the owner of the limit, grants permits: each is for one
// request, valid from some time on, and expires soon after. Processes with requests ask for
// permits; those without hold nothing back from the others.
//
// The owner never grants more than allocatedShare of the rate and accumulates no unused
// permits, so in any time window no more requests are sent than permits were valid in it.
// Lost, late and duplicate messages waste permits and create none. Two owners at a time, while
// processes disagree on which of them are alive, grant up to twice as much until they agree.
//
// The package does no I/O and takes the time from its callers, so tests run it in virtual time.
package quota
