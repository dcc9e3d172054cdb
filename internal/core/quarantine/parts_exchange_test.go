package quarantine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// TestSurvivalIsExchanged checks that a process sends what it knows in favor of a part that another
// one recorded a crash of, that a survival clears the crashes at all, and that it does not excuse
// later crashes.
func TestSurvivalIsExchanged(t *testing.T) {
	seen, other := newRecorder(), newRecorder()
	deliver := func(to *recorder, entries []quarantine.Entry) {
		for i := range entries {
			to.Merge(&entries[i], to.now)
		}
	}
	seen.OnChange = func(changed []quarantine.Entry) { deliver(other, changed) }
	evidence := 0
	other.OnEvidence = func() { evidence++ }
	other.survive("common")
	seen.crash([]string{"common"})
	if evidence != 1 {
		t.Fatalf("told of evidence %d times", evidence)
	}
	deliver(seen, other.TakeEvidence(other.now))
	if len(other.TakeEvidence(other.now)) != 0 {
		t.Error("evidence is sent twice")
	}
	for range 3 {
		seen.crash([]string{"common"})
	}
	seen.now, other.now = seen.now.Add(time.Minute), seen.now.Add(time.Minute)
	if seen.blocks("common") || seen.Digest() != other.Digest() {
		t.Error("a part that another process saw served is blocked after four crashes, or the tables differ")
	}
	other.survive("common")
	deliver(seen, other.TakeEvidence(other.now))
	for range 4 {
		seen.crash([]string{"common"})
	}
	seen.now = seen.now.Add(time.Minute)
	if seen.blocks("common") {
		t.Error("crashes before the survival count")
	}
	seen.crash([]string{"common"})
	seen.now = seen.now.Add(time.Minute)
	if !seen.blocks("common") {
		t.Error("five crashes after the survival do not quarantine the part")
	}
}

// TestEvidenceOfOthersIsNotRepeated checks that a process keeps quiet about what another one has
// sent already.
func TestEvidenceOfOthersIsNotRepeated(t *testing.T) {
	one, two := newRecorder(), newRecorder()
	for _, r := range []*recorder{one, two} {
		r.survive("common")
		r.crash([]string{"common"})
		r.survive("common")
	}
	for _, e := range one.TakeEvidence(one.now) {
		two.Merge(&e, two.now)
	}
	if left := two.TakeEvidence(two.now); len(left) != 0 {
		t.Errorf("sends %+v again", left)
	}
}

// drawPart draws what one process may know of a part.
func drawPart(t *rapid.T) quarantine.Entry {
	marks := func(label string) []catalog.Mark {
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) catalog.Mark { return catalog.Mark(rapid.IntRange(1, 30).Draw(t, label)) }), 1, 9).Draw(t, label)
	}
	e := quarantine.Entry{
		Key: part(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "key")), Part: true,
		CrashedReplicas: marks("crashed"), ServedBefore: rapid.IntRange(0, 3).Draw(t, "served") == 0,
	}
	if rapid.Bool().Draw(t, "survival") {
		e.Survived = e.CrashedReplicas[:len(e.CrashedReplicas)/2]
	}
	return e
}

// TestPartsConverge merges the same entries of parts in two orders, and then exchanges messages
// until nothing changes: all tables hold the same and block the same.
func TestPartsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawPart), 0, 12).Draw(t, "entries")
		tables := []*recorder{newRecorder(), newRecorder(), newRecorder()}
		for i := range entries {
			tables[0].Merge(&entries[i], start)
		}
		for _, i := range rapid.Permutation(indexes(len(entries))).Draw(t, "order") {
			tables[1].Merge(&entries[i], start)
		}
		for round, changed := 0, true; changed; round++ {
			if round == 4 {
				t.Fatal("still changes after four rounds")
			}
			changed = exchange(t, tables)
		}
		for _, other := range tables[1:] {
			if tables[0].Digest() != other.Digest() {
				t.Fatalf("%+v, %+v", tables[0].Entries(start), other.Entries(start))
			}
			for _, hash := range []string{"p", "q", "r"} {
				if k, later := part(hash), start.Add(time.Second); tables[0].Blocked(k, later) != other.Blocked(k, later) {
					t.Fatalf("%s is not blocked by all or none: %+v", hash, other.Entries(start))
				}
			}
		}
	})
}

// exchange sends the entries of each table to all others, and reports whether that changed one.
func exchange(t *rapid.T, tables []*recorder) bool {
	changed := false
	for _, from := range tables {
		for _, group := range quarantine.Split(from.Entries(start), 200) {
			body, err := quarantine.Encode(group)
			if err != nil || len(body) > 200 {
				t.Fatalf("%d bytes, %v", len(body), err)
			}
			for _, to := range tables {
				decoded, err := quarantine.Decode(body)
				if err != nil {
					t.Fatal(err)
				}
				for i := range decoded {
					changed = to.Merge(&decoded[i], start) || changed
				}
			}
		}
	}
	return changed
}

// TestPartRecordRoundTrip checks that the record of a quarantined part blocks it in a table that
// knows nothing else, and that of a part that was cleared since does not.
func TestPartRecordRoundTrip(t *testing.T) {
	r := newRecorder()
	for range 3 {
		r.crash([]string{"bad"})
	}
	for _, cleared := range []bool{false, true} {
		if cleared {
			r.survive("bad")
		}
		e, known := r.Entry(part("bad"), r.now)
		if !known {
			t.Fatal("no entry")
		}
		record, err := quarantine.EncodeRecord(&e)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := quarantine.DecodeRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		started := newRecorder()
		started.Merge(&decoded, started.now)
		if started.blocks("bad") == cleared {
			t.Errorf("cleared %v: blocked %v", cleared, started.blocks("bad"))
		}
	}
}
