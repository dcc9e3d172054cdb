package ranks

import (
	"encoding/binary"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/planner"
)

// mapLog logs each map that comes into force at a rank. The zero value is ready to use.
type mapLog struct {
	mu      sync.Mutex
	epoch   held.Epoch
	step    graniteknot.Step
	current held.Version
}

// observe logs the map in force if it is not the last one seen. The step is the latest one begun,
// which may be some steps after the map's first.
func (l *mapLog) observe(log *eventlog.Log, s *held.State, content mapDigest) {
	l.mu.Lock()
	newer := s.Epoch > l.epoch || s.Epoch == l.epoch && s.Step >= l.step
	changed := newer && (s.Epoch != l.epoch || s.Current != l.current)
	former := l.current
	if newer {
		l.epoch, l.step, l.current = s.Epoch, s.Step, s.Current
	}
	l.mu.Unlock()
	if changed {
		log.Info("map in force", slog.Int64("map", int64(s.Current)), slog.Int64("former", int64(former)), slog.Int64("epoch", int64(s.Epoch)),
			slog.Uint64("step", uint64(s.Step)), slog.String("digest", content.String()))
	}
}

// digest identifies a map by the experts in all slots.
func digest(p *planner.Placement) mapDigest {
	hash := fnv.New64a()
	var number [4]byte
	for l := range p.Shape.Layers {
		for r := range p.Shape.Ranks {
			for _, e := range p.Experts(graniteknot.Layer(l), graniteknot.Rank(r)) {
				binary.BigEndian.PutUint32(number[:], uint32(e))
				_, _ = hash.Write(number[:])
			}
		}
	}
	return mapDigest(hash.Sum64())
}

// mapDigest identifies the content of a map; 0 is unknown.
type mapDigest uint64

// String returns the digest as it is logged.
func (d mapDigest) String() string {
	if d == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(d), 16)
}
