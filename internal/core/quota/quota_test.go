package quota_test

import (
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quota"
)

// TestAllocatorAccumulatesNoPermits checks that a time without requests yields no extra permits.
func TestAllocatorAccumulatesNoPermits(t *testing.T) {
	var allocator quota.Allocator
	now := time.Now()
	allocator.Grant(now, life, 10, "a", 1)
	total := 0
	for range 20 {
		total += allocator.Grant(now.Add(30*time.Second), life, 10, "a", 200).Count
	}
	if total > 4 {
		t.Errorf("%d permits at once at 10 a second, want at most 4", total)
	}
}

// TestInactiveBoxesDoNotCount checks that only boxes that asked recently share a limit.
func TestInactiveBoxesDoNotCount(t *testing.T) {
	var allocator quota.Allocator
	now := time.Now()
	for i := range 40 {
		allocator.Grant(now, life, 100, graniteknot.BoxName(fmt.Sprint(i)), 1)
	}
	if g := allocator.Grant(now, life, 100, "a", 100); g.Askers != 41 || g.Count > 2 {
		t.Errorf("%+v with 41 active boxes", g)
	}
	if g := allocator.Grant(now.Add(10*time.Second), life, 100, "a", 100); g.Askers != 1 || g.Count < 20 {
		t.Errorf("%+v with one active box", g)
	}
}

// TestGrantsCountOnce checks that grants that are duplicate, late or for an earlier request than
// the last one add no permits.
func TestGrantsCountOnce(t *testing.T) {
	now := time.Now()
	var allocation quota.Allocation
	allocation.SetLimit(2)
	number, _ := allocation.StartRequest(now)
	g := quota.Grant{Number: number, Count: 2, Every: 100, Askers: 1}
	if !allocation.ApplyGrant(&g, now) || allocation.ApplyGrant(&g, now) || allocation.Held() != 2 {
		t.Errorf("%d permits held, want 2", allocation.Held())
	}
	number, _ = allocation.StartRequest(now)
	g.Number = number
	if allocation.ApplyGrant(&g, now.Add(time.Second)) {
		t.Error("a late grant was accepted")
	}
	allocation.StartRequest(now)
	if allocation.ApplyGrant(&g, now) || allocation.Held() != 2 {
		t.Error("a grant for an earlier request was accepted")
	}
	allocation.SetLimit(1)
	if allocation.Held() != 0 {
		t.Error("permits of a higher limit are still held")
	}
}

// FuzzMessage checks that any datagram can be decoded safely, and that a decoded message can be
// applied and encoded again.
func FuzzMessage(f *testing.F) {
	key := quota.KeyOf(life)
	for _, m := range []quota.Message{
		{Told: []quota.Notice{{Key: key, Holds: true, Rate: 1.1, Age: 40}}},
		{Asks: []quota.PermitRequest{{Key: key, Number: 4, Want: 2}}},
		{Grants: []quota.Grant{{Key: key, Number: 4, Count: 1, From: 20, Every: 909, Again: 400, Askers: 7}}},
	} {
		b, err := quota.Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := quota.Decode(b)
		if err != nil {
			return
		}
		for i := range m.Grants {
			var allocation quota.Allocation
			allocation.SetLimit(1)
			now := time.Now()
			m.Grants[i].Number, _ = allocation.StartRequest(now)
			allocation.ApplyGrant(&m.Grants[i], now)
			if allocation.Held() > 256 {
				t.Errorf("%d permits held, want at most 256", allocation.Held())
			}
		}
		if _, err := quota.Encode(m); err != nil {
			t.Error(err)
		}
	})
}
