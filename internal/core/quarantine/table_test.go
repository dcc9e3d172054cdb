package quarantine_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

var start = time.Unix(1000, 0)

func key(body string) quarantine.Key { return quarantine.KeyOf("/p", "a", []byte(body)) }

func TestSecondEndBlocks(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	if !table.Empty() || table.Quarantined(k) {
		t.Error("an empty table knows something")
	}
	table.RecordCrash(k, 1, start)
	table.RecordCrash(k, 1, start)
	if table.Quarantined(k) {
		t.Error("one replica's end, told twice, blocks")
	}
	table.RecordCrash(k, 2, start.Add(time.Minute))
	if !table.Quarantined(k) || table.Quarantined(key("y")) || table.QuarantinedCount() != 1 {
		t.Error("two ends do not block, or block another request")
	}
}

// TestAnswerReleases takes a request for harmless that was at two replicas which ended for
// other reasons, once a third answers it.
func TestAnswerReleases(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordResponse(k, start)
	if !table.Empty() {
		t.Error("an answer of which nothing was known is kept")
	}
	table.RecordCrash(k, 1, start)
	table.RecordResponse(k, start)
	table.RecordCrash(k, 2, start)
	table.RecordCrash(k, 3, start)
	if table.Quarantined(k) {
		t.Error("a request that was answered is kept from replicas")
	}
}

// TestManyEndsAtOnceAreNoRequestsDoing plays a loss of power, which ends replicas under
// whatever they had.
func TestManyEndsAtOnceAreNoRequestsDoing(t *testing.T) {
	var table quarantine.Table
	taken := 0
	for life := range catalog.Mark(100) {
		if table.RecordCrash(key(string(rune('a'+life))), life+1, start) {
			taken++
		}
	}
	if taken != 3 {
		t.Errorf("%d ends at the same time were taken for requests' doing", taken)
	}
	if !table.RecordCrash(key("later"), 200, start.Add(2*time.Second)) {
		t.Error("an end two seconds later was not taken")
	}
}

func drawEntries(t *rapid.T) []quarantine.Entry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Entry {
		return quarantine.Entry{
			Key:             key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")),
			CrashedReplicas: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) catalog.Mark { return catalog.Mark(rapid.IntRange(1, 9).Draw(t, "life")) }), 1, 4).Draw(t, "lives"),
			Released:        rapid.IntRange(0, 9).Draw(t, "released") == 0,
		}
	}), 0, 12).Draw(t, "entries")
}

// TestOrderDoesNotMatter merges the same entries in two orders, some twice and some by way
// of another table: all know the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		var one, other, third quarantine.Table
		for i := range entries {
			one.Merge(&entries[i], start)
		}
		for _, i := range rapid.Permutation(indexes(len(entries))).Draw(t, "order") {
			other.Merge(&entries[i], start)
			other.Merge(&entries[i], start)
		}
		body, err := quarantine.Encode(other.Entries(start))
		if err != nil {
			t.Fatal(err)
		}
		told, err := quarantine.Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		for i := range told {
			third.Merge(&told[i], start)
			if third.Merge(&told[i], start) {
				t.Fatal("the same said something new twice")
			}
		}
		if one.Digest() != other.Digest() || one.Digest() != third.Digest() || one.QuarantinedCount() != third.QuarantinedCount() {
			t.Fatalf("%+v, %+v, %+v", one.Entries(start), other.Entries(start), third.Entries(start))
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestTableIsBounded keeps what blocks and drops the oldest of the rest.
func TestTableIsBounded(t *testing.T) {
	var table quarantine.Table
	blocking := quarantine.Entry{Key: key("blocking"), CrashedReplicas: []catalog.Mark{1, 2}}
	table.Merge(&blocking, start)
	for i := range 5000 {
		e := quarantine.Entry{Key: quarantine.KeyOf("/p", "a", []byte{byte(i), byte(i >> 8)}), CrashedReplicas: []catalog.Mark{1}}
		table.Merge(&e, start.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(table.Entries(start)); n > 1024 || !table.Quarantined(blocking.Key) {
		t.Errorf("%d entries, blocks: %v", n, table.Quarantined(blocking.Key))
	}
}

// TestEntriesEnd forgets a single end before a request that is blocked, and an old entry
// that another process tells does not come back.
func TestEntriesEnd(t *testing.T) {
	var table quarantine.Table
	single, blocked := key("single"), key("blocked")
	table.RecordCrash(single, 1, start)
	table.RecordCrash(blocked, 1, start)
	table.RecordCrash(blocked, 2, start)
	later := start.Add(time.Hour)
	if ended := table.Expire(later); len(ended) != 0 || len(table.Entries(later)) != 1 || !table.Quarantined(blocked) {
		t.Errorf("after an hour: %v, %+v", ended, table.Entries(later))
	}
	told := table.Entries(later)[0]
	last := start.Add(25 * time.Hour)
	if ended := table.Expire(last); len(ended) != 1 || ended[0] != blocked || !table.Empty() {
		t.Errorf("after a day: %v", ended)
	}
	told.AgeMillis += (24 * time.Hour).Milliseconds()
	if table.Merge(&told, last) || !table.Empty() || table.Digest() != 0 {
		t.Error("an old entry came back")
	}
}

// TestWhoWaitsIsTold ends the wait of a request that is kept from replicas meanwhile.
func TestWhoWaitsIsTold(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordCrash(k, 1, start)
	waiting, done := table.CancelOnBlock(context.Background(), k, start)
	defer done()
	other, doneOther := table.CancelOnBlock(context.Background(), key("y"), start)
	defer doneOther()
	if waiting.Err() != nil {
		t.Error("one end ended the wait")
	}
	e := quarantine.Entry{Key: k, CrashedReplicas: []catalog.Mark{7}}
	table.Merge(&e, start)
	if waiting.Err() == nil || other.Err() != nil {
		t.Error("the wait goes on, or another one's ended")
	}
	late, doneLate := table.CancelOnBlock(context.Background(), k, start)
	defer doneLate()
	if late.Err() == nil {
		t.Error("a request that is blocked waits")
	}
}

// TestRecords writes and reads records, and refuses those of other writers.
func TestRecords(t *testing.T) {
	e := quarantine.Entry{Key: key("x"), CrashedReplicas: []catalog.Mark{3, 9}}
	r, err := quarantine.EncodeRecord(&e)
	if err != nil {
		t.Fatal(err)
	}
	back, err := quarantine.DecodeRecord(r)
	if err != nil || back.Key != e.Key || !back.Quarantined() {
		t.Errorf("%+v, %v", back, err)
	}
	e.Released = true
	if r, err = quarantine.EncodeRecord(&e); err != nil || len(r.Value) != 0 {
		t.Errorf("a released request's record: %+v, %v", r, err)
	}
	if back, err = quarantine.DecodeRecord(r); err != nil || !back.Released {
		t.Errorf("%+v, %v", back, err)
	}
	name := key("x").String()
	for _, odd := range []graniteknot.KeyedRecord{
		{Key: "x", Value: []byte(`{"lives":[1,2]}`)},
		{Key: name, Value: []byte(`{}`)},
		{Key: name, Value: []byte(`null`)},
		{Key: name, Value: []byte(`{"lives":[1]}`)},
		{Key: name, Value: []byte(`{"lives":"1"}`)},
		{Key: name, Value: []byte{0xff, 0}},
		{Key: name, Value: []byte(`{"lives":[1,2,3,4,5]}`)},
		{Key: name, Value: []byte(`{"lives":[-1,2]}`)},
		{Key: name + "00", Value: []byte(`{"lives":[1,2]}`)},
	} {
		if got, err := quarantine.DecodeRecord(odd); err == nil {
			t.Errorf("%s %q was read as %+v", odd.Key, odd.Value, got)
		}
	}
	for _, odd := range [][]byte{nil, {0xff}, []byte("text"), {0x81, 0x01}} {
		if got, err := quarantine.Decode(odd); err == nil {
			t.Errorf("%x was read as %+v", odd, got)
		}
	}
}

// TestSuspectIsKeptForAWhile keeps a request under which one replica ended before it had
// answered anything: at once, in every table that is told, and until an answer, an end of the
// time or a second end. Nobody else's request is.
func TestSuspectIsKeptForAWhile(t *testing.T) {
	var table, other quarantine.Table
	k := key("x")
	table.OnChange = func(e quarantine.Entry) { other.Merge(&e, start) }
	table.RecordCrashBeforeResponse(k, 1, start)
	table.RecordCrash(key("begun"), 1, start)
	for _, x := range []*quarantine.Table{&table, &other} {
		if !x.Blocked(k, start) || x.Quarantined(k) || x.Blocked(key("begun"), start) || x.Blocked(key("y"), start) {
			t.Error("right after the end")
		}
		if !x.Blocked(k, start.Add(59*time.Second)) || x.Blocked(k, start.Add(61*time.Second)) {
			t.Error("not kept for a minute")
		}
	}
	if table.Digest() != other.Digest() {
		t.Error("who was told knows something else")
	}
	table.RecordCrash(k, 2, start.Add(2*time.Minute))
	if !table.Blocked(k, start.Add(time.Hour)) || !table.Quarantined(k) {
		t.Error("two ends do not block")
	}
	other.RecordResponse(k, start)
	if other.Blocked(k, start) {
		t.Error("an answered request is kept")
	}
}

// TestAnsweredOfLateIsReleased releases a request that this process saw answered before the
// ends, for as long as it remembers, and bounds that.
func TestAnsweredOfLateIsReleased(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordResponse(k, start)
	table.RecordCrashBeforeResponse(k, 1, start.Add(time.Second))
	table.RecordCrash(k, 2, start.Add(2*time.Second))
	if table.Blocked(k, start.Add(3*time.Second)) {
		t.Error("a request that was answered before is kept")
	}
	late := start.Add(time.Hour)
	y := key("y")
	table.RecordResponse(y, start)
	for i := range 3 * 4096 {
		table.RecordResponse(key(string(rune('a'+i))), late)
	}
	table.RecordCrashBeforeResponse(y, 3, late)
	if !table.Blocked(y, late) {
		t.Error("an answer before 8,192 others is still remembered")
	}
}
