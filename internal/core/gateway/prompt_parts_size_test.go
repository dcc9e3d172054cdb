package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// partSubject is a request of its own with these parts in its prompt.
func partSubject(body string, hashes ...string) *quarantine.Subject {
	s := &quarantine.Subject{Request: quarantine.KeyOf("/stream/x", "desk", []byte(body))}
	for _, hash := range hashes {
		s.Parts = append(s.Parts, quarantine.KeyOfPart("m", hash, 100))
	}
	return s
}

func (b *virtualBox) blocksPart(hash string) bool {
	return b.Quarantine.BlockedKey(partSubject("new", hash), b.Clock.Now()) != nil
}

// crashAt records that a replica crashed under requests of several gateways: the first one's has
// the bad part, all have a common one and a rare one.
func (f *virtualFleet) crashAt(n int, random *rand.Rand) {
	const observers = 6
	for i := range observers {
		b := f.boxes[random.IntN(len(f.boxes))]
		parts := []string{"common", fmt.Sprintf("rare %d %d", n, i)}
		if i == 0 {
			parts = append(parts, "bad")
		}
		b.Quarantine.RecordSubjectCrash(partSubject(fmt.Sprint(n, i), parts...), catalog.Mark(n+1), true, b.Clock.Now())
	}
}

// TestPromptPartIsKnownAtAllGateways checks that a part that crashed three replicas is blocked
// everywhere a second later, though each gateway saw few of the crashes, that parts that replicas
// serve are not, and what the messages take. One datagram in fifty is lost; one gateway is reached
// by the store only, and one starts later.
func TestPromptPartIsKnownAtAllGateways(t *testing.T) {
	notUnderRace(t)
	const known, perGateway = time.Second, 10.0
	for _, n := range sizesToPlay(t) {
		t.Run(strconv.Itoa(n)+" gateways", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, n, nil)
				defer f.stop()
				time.Sleep(4 * time.Second)
				f.net.Lose(0.02, uint64(n))
				random := rand.New(rand.NewPCG(uint64(n), 1))
				lonely := f.boxes[n-1]
				for _, b := range f.boxes {
					b.Quarantine.RecordSurvival(partSubject("", "common").Parts, b.Clock.Now())
					f.net.Cut(b.ip(), lonely.ip(), true)
					f.net.Cut(lonely.ip(), b.ip(), true)
				}
				idle, began := f.net.Carried(), time.Now()
				time.Sleep(8 * time.Second)
				idle = f.net.Carried() - idle
				before := f.net.Carried()
				for i := range 4 {
					f.crashAt(i, random)
					time.Sleep(known)
					if i >= 2 {
						checkBlocked(t, f.boxes[:n-1], i+1)
					}
					time.Sleep(2*time.Second - known)
				}
				carried := f.net.Carried() - before
				t.Logf("%.2f KB a second into each gateway, %.2f without crashes", float64(carried)/8/float64(n)/1000, float64(idle)/8/float64(n)/1000)
				if extra := (float64(carried) - float64(idle)) / 8 / float64(n) / 1000; extra > perGateway {
					t.Errorf("%.2f KB a second more into each gateway, %v may be", extra, perGateway)
				}
				if !lonely.blocksPart("bad") {
					t.Error("a gateway that only the store reaches does not know the part")
				}
				started := f.box(n, nil)
				f.boxes = append(f.boxes, started)
				f.start(started)
				time.Sleep(4 * time.Second)
				if !started.blocksPart("bad") || started.blocksPart("common") {
					t.Error("a gateway that started later does not know the part, or blocks another one")
				}
				t.Logf("%v of virtual time", time.Since(began))
			})
		})
	}
}

func checkBlocked(t *testing.T, boxes []*virtualBox, crashes int) {
	t.Helper()
	missing := 0
	for _, b := range boxes {
		if !b.blocksPart("bad") {
			missing++
		}
		if b.blocksPart("common") || b.blocksPart("rare 0 1") {
			t.Fatalf("after %d crashes %s blocks a sound part: %+v", crashes, b.config.Box, b.Quarantine.Entries(b.Clock.Now()))
		}
	}
	if missing > 0 {
		t.Errorf("after %d crashes %d of %d gateways do not block the part", crashes, missing, len(boxes))
	}
}
