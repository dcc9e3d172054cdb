package quota_test

import (
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quota"
)

// TestHomeSavesNothingUp grants no more after a time in which nobody asked.
func TestHomeSavesNothingUp(t *testing.T) {
	var h quota.Home
	now := time.Now()
	h.Deal(now, life, 10, "a", 1)
	sum := 0
	for range 20 {
		sum += h.Deal(now.Add(30*time.Second), life, 10, "a", 200).Count
	}
	if sum > 4 {
		t.Errorf("%d permits at once at 10 a second", sum)
	}
}

// TestEndedBoxesDoNotCount counts who asked of late only: the parts of the others are theirs.
func TestEndedBoxesDoNotCount(t *testing.T) {
	var h quota.Home
	now := time.Now()
	for i := range 40 {
		h.Deal(now, life, 100, graniteknot.BoxName(fmt.Sprint(i)), 1)
	}
	if g := h.Deal(now, life, 100, "a", 100); g.Askers != 41 || g.Count > 2 {
		t.Errorf("%+v of 41", g)
	}
	if g := h.Deal(now.Add(10*time.Second), life, 100, "a", 100); g.Askers != 1 || g.Count < 20 {
		t.Errorf("%+v of one", g)
	}
}

// TestGrantsCountOnce takes in a grant that comes twice, late, or to an ask before the last one.
func TestGrantsCountOnce(t *testing.T) {
	now := time.Now()
	var p quota.Part
	p.Limit(2)
	number, _ := p.Asked(now)
	g := quota.Grant{Number: number, Count: 2, Every: 100, Askers: 1}
	if !p.Granted(&g, now) || p.Granted(&g, now) || p.Held() != 2 {
		t.Errorf("%d permits of two", p.Held())
	}
	number, _ = p.Asked(now)
	g.Number = number
	if p.Granted(&g, now.Add(time.Second)) {
		t.Error("a late grant counts")
	}
	p.Asked(now)
	if p.Granted(&g, now) || p.Held() != 2 {
		t.Error("a grant to an earlier ask counts")
	}
	p.Limit(1)
	if p.Held() != 0 {
		t.Error("permits of a higher limit are valid")
	}
}

// FuzzMessage reads any datagram without harm, and writes what it read.
func FuzzMessage(f *testing.F) {
	key := quota.KeyOf(life)
	for _, m := range []quota.Message{
		{Told: []quota.Told{{Key: key, Holds: true, Rate: 1.1, Age: 40}}},
		{Asks: []quota.Ask{{Key: key, Number: 4, Want: 2}}},
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
			var p quota.Part
			p.Limit(1)
			now := time.Now()
			m.Grants[i].Number, _ = p.Asked(now)
			p.Granted(&m.Grants[i], now)
			if p.Held() > 256 {
				t.Errorf("%d permits", p.Held())
			}
		}
		if _, err := quota.Encode(m); err != nil {
			t.Error(err)
		}
	})
}
