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

func TestSecondCrashQuarantines(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	if !table.Empty() || table.Quarantined(k) {
		t.Error("the zero table is not empty")
	}
	table.RecordCrash(k, 1, start)
	table.RecordCrash(k, 1, start)
	if table.Quarantined(k) {
		t.Error("a crash that was recorded twice quarantines the request")
	}
	table.RecordCrash(k, 2, start.Add(time.Minute))
	if !table.Quarantined(k) || table.Quarantined(key("y")) || table.QuarantinedCount() != 1 {
		t.Error("two crashes do not quarantine the request, or quarantine another one")
	}
}

// TestResponseReleases checks that a response from a third replica releases a request that
// was at two replicas when they crashed for other reasons.
func TestResponseReleases(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordResponse(k, start)
	if !table.Empty() {
		t.Error("a response to an unknown request added an entry")
	}
	table.RecordCrash(k, 1, start)
	table.RecordResponse(k, start)
	table.RecordCrash(k, 2, start)
	table.RecordCrash(k, 3, start)
	if table.Quarantined(k) {
		t.Error("an answered request is quarantined")
	}
}

// TestCrashBurstIsNotCounted simulates a power failure, which ends many replicas whatever
// requests they have.
func TestCrashBurstIsNotCounted(t *testing.T) {
	var table quarantine.Table
	counted := 0
	for mark := range catalog.Mark(100) {
		if table.RecordCrash(key(string(rune('a'+mark))), mark+1, start) {
			counted++
		}
	}
	if counted != 3 {
		t.Errorf("%d simultaneous crashes were attributed to requests", counted)
	}
	if !table.RecordCrash(key("later"), 200, start.Add(2*time.Second)) {
		t.Error("a crash two seconds later was not counted")
	}
}

func drawEntries(t *rapid.T) []quarantine.Entry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Entry {
		return quarantine.Entry{
			Key:             key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")),
			CrashedReplicas: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) catalog.Mark { return catalog.Mark(rapid.IntRange(1, 9).Draw(t, "replica")) }), 1, 4).Draw(t, "crashed"),
			Released:        rapid.IntRange(0, 9).Draw(t, "released") == 0,
		}
	}), 0, 12).Draw(t, "entries")
}

// TestMergeIsOrderIndependent merges the same entries in two orders, twice, and by way of
// another table: all tables converge.
func TestMergeIsOrderIndependent(t *testing.T) {
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
		decoded, err := quarantine.Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		for i := range decoded {
			third.Merge(&decoded[i], start)
			if third.Merge(&decoded[i], start) {
				t.Fatal("merging an entry again changed the table")
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

// TestTableIsBounded checks that a full table keeps quarantined requests and drops the oldest
// other entries.
func TestTableIsBounded(t *testing.T) {
	var table quarantine.Table
	quarantined := quarantine.Entry{Key: key("blocking"), CrashedReplicas: []catalog.Mark{1, 2}}
	table.Merge(&quarantined, start)
	for i := range 5000 {
		e := quarantine.Entry{Key: quarantine.KeyOf("/p", "a", []byte{byte(i), byte(i >> 8)}), CrashedReplicas: []catalog.Mark{1}}
		table.Merge(&e, start.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(table.Entries(start)); n > 1024 || !table.Quarantined(quarantined.Key) {
		t.Errorf("%d entries, quarantined: %v", n, table.Quarantined(quarantined.Key))
	}
}

// TestEntriesExpire checks that a single crash expires before a quarantined request, and that
// an expired entry received from another process is not added again.
func TestEntriesExpire(t *testing.T) {
	var table quarantine.Table
	single, quarantined := key("single"), key("blocked")
	table.RecordCrash(single, 1, start)
	table.RecordCrash(quarantined, 1, start)
	table.RecordCrash(quarantined, 2, start)
	later := start.Add(time.Hour)
	if expired := table.Maintain(later); len(expired) != 0 || len(table.Entries(later)) != 1 || !table.Quarantined(quarantined) {
		t.Errorf("after an hour: %v, %+v", expired, table.Entries(later))
	}
	received := table.Entries(later)[0]
	last := start.Add(25 * time.Hour)
	if expired := table.Maintain(last); len(expired) != 1 || expired[0] != quarantined || !table.Empty() {
		t.Errorf("after a day: %v", expired)
	}
	received.AgeMillis += (24 * time.Hour).Milliseconds()
	if table.Merge(&received, last) || !table.Empty() || table.Digest() != 0 {
		t.Error("an expired entry was added again")
	}
}

// TestQuarantineCancelsWaiters checks that a request that waits is canceled once it is
// quarantined.
func TestQuarantineCancelsWaiters(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordCrash(k, 1, start)
	waiting, done := table.CancelOnBlock(context.Background(), &quarantine.Subject{Request: k}, start)
	defer done()
	other, doneOther := table.CancelOnBlock(context.Background(), &quarantine.Subject{Request: key("y")}, start)
	defer doneOther()
	if waiting.Err() != nil {
		t.Error("a single crash canceled the wait")
	}
	e := quarantine.Entry{Key: k, CrashedReplicas: []catalog.Mark{7}}
	table.Merge(&e, start)
	if waiting.Err() == nil || other.Err() != nil {
		t.Error("the wait was not canceled, or another request's was")
	}
	late, doneLate := table.CancelOnBlock(context.Background(), &quarantine.Subject{Request: k}, start)
	defer doneLate()
	if late.Err() == nil {
		t.Error("a quarantined request waits")
	}
}

// TestRecordRoundTrip encodes and decodes records, and checks that malformed ones are refused.
func TestRecordRoundTrip(t *testing.T) {
	e := quarantine.Entry{Key: key("x"), CrashedReplicas: []catalog.Mark{3, 9}}
	r, err := quarantine.EncodeRecord(&e)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := quarantine.DecodeRecord(r)
	if err != nil || decoded.Key != e.Key || !decoded.Quarantined() {
		t.Errorf("%+v, %v", decoded, err)
	}
	e.Released = true
	if r, err = quarantine.EncodeRecord(&e); err != nil || len(r.Value) != 0 {
		t.Errorf("a released request's record: %+v, %v", r, err)
	}
	if decoded, err = quarantine.DecodeRecord(r); err != nil || !decoded.Released {
		t.Errorf("%+v, %v", decoded, err)
	}
	name := key("x").String()
	for _, malformed := range []graniteknot.KeyedRecord{
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
		if got, err := quarantine.DecodeRecord(malformed); err == nil {
			t.Errorf("%s %q was decoded as %+v", malformed.Key, malformed.Value, got)
		}
	}
	for _, malformed := range [][]byte{nil, {0xff}, []byte("text"), {0x81, 0x01}} {
		if got, err := quarantine.Decode(malformed); err == nil {
			t.Errorf("%x was decoded as %+v", malformed, got)
		}
	}
}

// TestSuspectIsBlockedForAMinute checks that a request is blocked once a replica crashed before
// it had answered anything: at once, in every table that merges the entry, and until a
// response, the end of the minute or a second crash. No other request is blocked.
func TestSuspectIsBlockedForAMinute(t *testing.T) {
	var table, other quarantine.Table
	k := key("x")
	table.OnChange = func(changed []quarantine.Entry) {
		for i := range changed {
			other.Merge(&changed[i], start)
		}
	}
	table.RecordCrashBeforeResponse(k, 1, start)
	table.RecordCrash(key("begun"), 1, start)
	for _, x := range []*quarantine.Table{&table, &other} {
		if !x.Blocked(k, start) || x.Quarantined(k) || x.Blocked(key("begun"), start) || x.Blocked(key("y"), start) {
			t.Error("right after the crash: not only the suspect is blocked")
		}
		if !x.Blocked(k, start.Add(59*time.Second)) || x.Blocked(k, start.Add(61*time.Second)) {
			t.Error("the suspect is not blocked for exactly a minute")
		}
	}
	if table.Digest() != other.Digest() {
		t.Error("the other table did not converge")
	}
	table.RecordCrash(k, 2, start.Add(2*time.Minute))
	if !table.Blocked(k, start.Add(time.Hour)) || !table.Quarantined(k) {
		t.Error("two crashes do not quarantine the request")
	}
	other.RecordResponse(k, start)
	if other.Blocked(k, start) {
		t.Error("an answered request is blocked")
	}
}

// TestRecentlyAnsweredIsReleased checks that a request that this process saw answered before
// the crashes is not blocked, and that the number of remembered requests is bounded.
func TestRecentlyAnsweredIsReleased(t *testing.T) {
	var table quarantine.Table
	k := key("x")
	table.RecordResponse(k, start)
	table.RecordCrashBeforeResponse(k, 1, start.Add(time.Second))
	table.RecordCrash(k, 2, start.Add(2*time.Second))
	if table.Blocked(k, start.Add(3*time.Second)) {
		t.Error("a request that was answered before is blocked")
	}
	late := start.Add(time.Hour)
	y := key("y")
	table.RecordResponse(y, start)
	for i := range 3 * 4096 {
		table.RecordResponse(key(string(rune('a'+i))), late)
	}
	table.RecordCrashBeforeResponse(y, 3, late)
	if !table.Blocked(y, late) {
		t.Error("a response before 8,192 others is still remembered")
	}
}
