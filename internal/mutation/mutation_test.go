package mutation_test

import (
	"errors"
	"path/filepath"
	"testing"

	"graniteknot.org/go/internal/mutation"
)

// histories is how many random histories a mutation may take to show.
const histories = "GRANITEKNOT_HISTORIES=5000"

// rules are all that are taken out, one by one.
var rules = []mutation.Mutation{
	{
		Name: "a rank goes on with the old map without a word", File: "expertmap/rank.go",
		Old: "if !r.state.Committed {\n\t\t\treturn 0, false", New: "if false {\n\t\t\treturn 0, false",
		Package: "expertmap", Test: "TestEveryInterleaving", Says: "ran with maps",
	},
	{
		Name: "a rank listens to former keepers", File: "expertmap/rank.go", Old: "if m.Keeper < r.keeper {", New: "if false {",
		Package: "expertmap", Test: "TestFormerKeepersCommands", Says: "ran with maps",
	},
	{
		Name: "a new life of a rank listens to its former life's keepers", File: "expertmap/rank.go", Old: "if m.Keeper <= r.Born {", New: "if false {",
		Package: "expertmap", Test: "TestFormerLifesMessages",
	},
	{
		Name: "a commitment counts for another switch", File: "expertmap/keeper.go",
		Old: "\tif r.Armed > s.armed {", New: "\tif r.Armed != 0 {\n\t\ts.committed = s.committed || r.Committed\n\t\ts.armed, s.armedAt = r.Armed, r.ArmedAt\n\t}\n\tif false {",
		Package: "expertmap", Test: "TestSwitchesThatFollowClosely", Says: "ran with maps",
	},
	{
		Name: "a claim table promises without a tombstone", File: "claim/table.go",
		Old:     "\told, seen := t.records[r.ID]\n\tif !seen && len(t.records) >= t.limit()+t.limit()/tombstoneReserve {",
		New:     "\tdelete(t.records, r.ID)\n\tif true {\n\t\treturn VerdictNever\n\t}\n\told, seen := t.records[r.ID]\n\tif !seen && len(t.records) >= t.limit()+t.limit()/tombstoneReserve {",
		Package: "internal/core/relay", Test: "TestHardHistories", Says: "violations", Variables: []string{histories},
	},
	{
		Name: "a claim table decides on what came before its birth", File: "claim/table.go",
		Old: "\tif r.Incarnation != 0 && r.Incarnation != t.Incarnation {\n\t\treturn VerdictMaybe", New: "\tif true {\n\t\treturn VerdictStart",
		Package: "internal/core/relay", Test: "TestHardHistories", Says: "violations", Variables: []string{histories},
	},
	{
		Name: "an entry passes chunks on as they come", File: "internal/stream/checker.go",
		Old: "\tif !c.own(chunk) {\n\t\treturn nil\n\t}", New: "\tif true {\n\t\tc.next++\n\t\treturn []*wire.Chunk{chunk}\n\t}",
		Package: "internal/core/relay", Test: "TestHardHistories", Says: "violations", Variables: []string{histories},
	},
	{
		Name: "an older tree of settings replaces a newer one", File: "internal/core/spread/store.go",
		Old: "if graniteknot.Offset(snapshot.GetOffset()) <= before {", New: "if false {",
		Package: "internal/core/spread", Test: "TestApartForAnHour", Says: "an old snapshot was taken",
	},
	{
		Name: "a replica that is backing off is chosen", File: "internal/core/fleet/feedback.go",
		Old: "return t.life != nil && now.Before(t.life.backoffUntil)", New: "return false && now.IsZero()",
		Package: "internal/core/fleet", Test: "TestBackoffLastsAsRequested",
	},
	{
		Name: "feedback is lost with the record", File: "internal/core/fleet/feedback.go",
		Old: "\tx.life = t.lives[x.replica.Life()]\n", New: "",
		Package: "internal/core/fleet", Test: "TestFeedbackOutlivesRecords",
	},
	{
		Name: "feedback that arrives while a request connects is ignored", File: "internal/core/fleet/feedback.go",
		Old: "if l.target.excluded(now) {", New: "if false {",
		Package: "internal/core/forward", Test: "TestWordThatComesWhileConnecting",
	},
	{
		Name: "more than one request probes a replica after its backoff", File: "internal/core/fleet/feedback.go",
		Old: "return t.life != nil && t.life.unconfirmed && t.probing", New: "return false && t.probing",
		Package: "internal/core/fleet", Test: "TestBackoffLastsAsRequested",
	},
	{
		Name: "queued requests are not refused while all replicas back off", File: "internal/core/fleet/feedback.go",
		Old: "hopeless := now.Add(wait).After(x.bounds.GiveUpAt)", New: "hopeless := false && now.Add(wait).After(x.bounds.GiveUpAt)",
		Package: "internal/core/fleet", Test: "TestQueueDuringBackoff",
	},
	{
		Name: "a heartbeat is as new as its reading", File: "internal/core/gateway/follow.go",
		Old: "g.Fleet.PutSince(replica, since, now)", New: "g.Fleet.PutSince(replica, now.Add(0*now.Sub(since)), now)",
		Package: "internal/core/gateway", Test: "TestRestIsNotLostByALateHeartbeat", Says: "though it had asked for rest",
	},
	{
		Name: "a restored record of an ended life counts", File: "internal/core/fleet/feedback.go",
		Old: "if r.Beat > 0 && r.Beat <= state.lastBeat {", New: "if false {",
		Package: "internal/core/gateway", Test: "TestReplicasAcrossADrill",
	},
	{
		Name: "suspects are not kept", File: "internal/core/quarantine/entry.go",
		Old: "i.Blocks() || i.Suspect && !i.Released && now.Sub(i.since) < suspectFor", New: "i.Blocks() || now.Sub(i.since) < 0",
		Package: "internal/core/forward", Test: "TestOneEndInALockStepGroup",
	},
	{
		Name: "answers before an end are forgotten", File: "internal/core/quarantine/table.go",
		Old: "\tt.answered.add(k, now)\n", New: "",
		Package: "internal/core/forward", Test: "TestCommonRequestIsNotBlamed",
	},
	{
		Name: "the era of answers is not compared", File: "platform/store.go",
		Old: "return graniteknot.Era(told), told == known", New: "return graniteknot.Era(told), true",
		Package: "platform", Test: "TestAnswersOfEndedEras",
	},
	{
		Name: "a follower reads on across eras", File: "platform/store.go",
		Old: "\tif from.Era() < s.known() {\n\t\t// Whatever", New: "\tif false {\n\t\t// Whatever",
		Package: "platform", Test: "TestFollowerAcrossADrill",
	},
	{
		Name: "fences forget the era", File: "internal/core/ranks/fence.go", Old: "int64(at.Era())*lostClaims + ", New: "",
		Package: "internal/core/ranks", Test: "TestFencesRiseOverEras", Arguments: []string{"-rapid.nofailfile"},
	},
	{
		Name: "a keeper of a new era has a lower fence", File: "internal/core/ranks/fence.go", Old: "int64(at.Era())*lostClaims + ", New: "",
		Package: "internal/core/ranks", Test: "TestKeepersAcrossADrill", Says: "gave way", Arguments: []string{"-rapid.nofailfile"},
	},
	{
		Name: "a store that is behind proves settings", File: "catalog/holder.go", Old: "h.tree == nil || h.shown < h.tree.Version", New: "h.tree == nil",
		Package: "internal/core/gateway", Test: "TestRevokedKeyAcrossADrill", Says: "too old to be trusted",
	},
	{
		Name: "own records are not written again", File: "internal/core/presence/registrar.go",
		Old: "if era := r.renewed; era != 0 {", New: "if era := r.renewed; false {",
		Package: "internal/core/gateway", Test: "TestOwnRecordsAreWrittenAgain", Says: "the process has a record again",
	},
	{
		Name: "quarantine's records are not written again", File: "internal/core/gateway/quarantine.go",
		Old: "\tg.ward.renew()\n", New: "",
		Package: "internal/core/gateway", Test: "TestOwnRecordsAreWrittenAgain", Says: "the request has a record again",
	},
	{
		Name: "nobody takes newer settings than the store shows", File: "internal/core/gateway/newer.go",
		Old: "\tif news {\n\t\twake(g.newerWake)\n", New: "\tif news && false {\n\t\twake(g.newerWake)\n",
		Package: "internal/core/gateway", Test: "TestVersionsAreInForceInTimeThoughReadersAreTurnedAway", Says: "came into force",
	},
	{
		Name: "each gateway holds a limit for itself", File: "internal/core/gateway/limits.go", Old: "\tif home == nil {\n\t\tgrant", New: "\tif home == nil || true {\n\t\tgrant",
		Package: "internal/core/gateway", Test: "TestLimitHoldsOverAllGateways", Says: "may come",
	},
	{
		Name: "permits are kept for the next life", File: "internal/core/fleet/feedback.go",
		Old:     "\tx.life = t.lives[x.replica.Life()]\n",
		New:     "\tfor l, state := range t.lives {\n\t\tif l.ID == x.replica.ID {\n\t\t\tx.life = state\n\t\t}\n\t}\n",
		Package: "internal/core/fleet", Test: "TestLimitBelongsToLife", Says: "the next life is not chosen",
	},
	{
		Name: "boxes that have ended keep their parts", File: "internal/core/quota/home.go",
		Old: "case age <= askerTime:", New: "default:",
		Package: "internal/core/quota", Test: "TestEndedBoxesDoNotCount",
	},
	{
		Name: "a home saves permits up", File: "internal/core/quota/home.go",
		Old: "d.next = latest(now, earliest(d.next, now.Add(ahead+every)))", New: "d.next = earliest(d.next, now.Add(ahead+every))",
		Package: "internal/core/quota", Test: "TestHomeSavesNothingUp",
	},
	{
		Name: "grants that come twice count twice", File: "internal/core/quota/part.go",
		Old: "if !p.limited || p.asked.IsZero() || g.Number != p.number || !p.waits(now) {", New: "if !p.limited {",
		Package: "internal/core/quota", Test: "TestGrantsCountOnce",
	},
	{
		Name: "a response to a request from before a limit clears it", File: "internal/core/fleet/limit.go",
		Old: "sent.After(x.life.limit.asOf)", New: "true",
		Package: "internal/core/fleet", Test: "TestOnlyLaterResponsesClearLimit",
	},
	{
		Name: "a request that connects needs no permit", File: "internal/core/fleet/feedback.go",
		Old: "return l.target.life.limit.permits.Take(now)", New: "return l.target.life.limit.permits.Take(now) || true",
		Package: "internal/core/forward", Test: "TestWordThatComesWhileConnecting/limit",
	},
	{
		Name: "a replica's feedback is not sent to other gateways", File: "internal/core/fleet/limit.go", Old: "\t\t\tt.queueNotice(notice)\n", New: "",
		Package: "internal/core/fleet", Test: "TestSheddingReplicaIsDetectedOnceForAll",
	},
	{
		Name: "a backoff asked of one gateway binds all", File: "internal/core/fleet/limit.go",
		Old: "s.active, s.firstGateway = true, notice.By", New: "s.active, s.multiple, s.firstGateway = true, true, notice.By",
		Package: "internal/core/fleet", Test: "TestBackoffOfOneGatewayDoesNotBindOthers",
	},
	{
		Name: "one's own trouble with the store is taken for all", File: "internal/core/watch/health.go", Old: "< within && !own", New: "< within || own && !own",
		Package: "internal/core/gateway", Test: "TestTurnedAwayGatewayBelievesTheStoreAgain",
	},
	{
		Name: "the store's return from an older copy is not doubted", File: "internal/core/watch/health.go", Old: "own := !h.renewed && ", New: "own := ",
		Package: "internal/core/watch", Test: "TestOwnTroubleIsNotTheStores",
	},
	{
		Name: "consecutive failures are forgotten with the record", File: "internal/core/fleet/feedback.go", Old: "state.failures, state.ejectedUntil = x.failures, x.ejectedUntil", New: "state.failures = 0",
		Package: "internal/core/fleet", Test: "TestFailuresOutliveRecords",
	},
	{
		Name: "the next life does not inherit feedback heard since the last heartbeat", File: "internal/core/fleet/table.go",
		Old: "\tt.inheritFeedback(x, now)\n", New: "",
		Package: "internal/core/fleet", Test: "TestFeedbackBeforeRecordOfNextLife",
	},
	{
		Name: "the next life inherits all feedback", File: "internal/core/fleet/inherit.go",
		Old: "since := from.lastHeartbeat", New: "since := from.lastHeartbeat.Add(-time.Hour)",
		Package: "internal/core/fleet", Test: "TestFeedbackBeforeRecordOfNextLife",
	},
	{
		Name: "a gateway that has lost the store reads for others", File: "internal/core/readers/readers.go",
		Old: "compareBool(a.lost, b.lost), ", New: "",
		Package: "internal/core/gateway", Test: "TestVersionsAreInForceInTimeThoughReadersAreTurnedAway", Says: "came into force",
	},
	{
		Name: "parts are of the newest records", File: "internal/core/presence/shelf.go",
		Old: "if digest == 0 {", New: "if digest != 0 || len(s.packs) > 0 {",
		Package: "internal/core/presence", Test: "TestRecordsThatChangeWhileTheyAreTaken", Says: "malformed",
	},
	{
		Name: "a gateway that is behind refuses", File: "internal/core/gateway/refusal.go",
		Old: "return age < proofAge && !g.behind()", New: "return age < proofAge",
		Package: "internal/core/gateway", Test: "TestNoRefusalByAVersionThatIsKnownToBeOld", Says: "answered 401",
	},
	{
		Name: "a gateway refuses by an old proof", File: "internal/core/gateway/refusal.go",
		Old: "return age < proofAge && ", New: "return age < 1000*proofAge && ",
		Package: "internal/core/gateway", Test: "TestNoRefusalWithoutProof", Says: "answered 401",
	},
	{
		Name: "long reads wait on after a loss", File: "internal/core/watch/overdue.go",
		Old: "\t\t\tclose(h.regained)\n", New: "",
		Package: "internal/core/watch", Test: "TestLongReadsBeginAnewAfterALoss", Says: "not seen",
	},
	{
		Name: "the age of a proof is not counted over a hop", File: "internal/core/gateway/revalidate.go",
		Old: "at := asked.Add(-told.Age)", New: "at := asked",
		Package: "internal/core/gateway", Test: "TestNoProofIsNewerThanTheLastRead", Says: "after the store went silent",
	},
	{
		Name: "a version is taken back", File: "catalog/holder.go",
		Old: "t.Version < h.tree.Version", New: "false", Package: "catalog", Test: "TestHolder", Says: "an older version was taken",
	},
	{
		Name: "a read that is overdue is no loss", File: "internal/core/watch/overdue.go",
		Old: "x.failed || !x.due.IsZero() && now.After(x.due)", New: "x.failed",
		Package: "internal/core/watch", Test: "TestSlowStoreIsNotLost", Says: "not lost",
	},
	{
		Name: "a gateway that starts believes a store that is behind", File: "internal/core/gateway/follow.go", Old: "\tg.askBeforeFirst(newest.Version)\n", New: "",
		Package: "internal/core/gateway", Test: "TestStartAfterADrillUsesNoOlderConfiguration", Says: "taken away",
	},
}

// TestMutationsAreFound takes each rule out and demands that its test notices: a check that
// can't fail would prove nothing.
func TestMutationsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and tests packages anew; run by make test")
	}
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	for i := range rules {
		t.Run(rules[i].Name, func(t *testing.T) {
			t.Parallel()
			if err := mutation.Try(t.Context(), root, t.TempDir(), &rules[i]); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestNoMutationIsNoticed tells apart a mutation that changes nothing, one whose place is not
// there, and one that can't be built.
func TestNoMutationIsNoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and tests packages anew; run by make test")
	}
	root := filepath.Join("..", "..")
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	one := mutation.Mutation{Arguments: []string{"-rapid.nofailfile"}}
	for name, c := range map[string]struct {
		old, new string
		want     error
	}{
		"nothing changed": {"int64(at.Era())", "int64(at.Era())", mutation.ErrSurvived},
		"not there":       {"int64(at.Year())", "0", mutation.ErrUnfit},
		"not Go":          {"int64(at.Era())", "int64(", mutation.ErrUnfit},
	} {
		one.File, one.Package, one.Test, one.Says = "internal/core/ranks/fence.go", "internal/core/ranks", "TestFencesRiseOverEras", ""
		one.Old, one.New = c.old, c.new
		if err := mutation.Try(t.Context(), root, t.TempDir(), &one); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
