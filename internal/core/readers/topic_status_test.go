package readers_test

import (
	"reflect"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/evacuation"
	"graniteknot.org/go/internal/core/readers"
)

// FuzzTopicStatus decodes arbitrary bytes, and encodes and decodes the result again, which rounds
// the age up.
func FuzzTopicStatus(f *testing.F) {
	zones := evacuation.State{Through: 9, Zones: []graniteknot.AvailabilityZone{"a", "b"}}
	for _, s := range []readers.TopicStatus{{}, {State: 7, Age: time.Second, StoreHealthy: true, Reader: "entry-1"}, {State: 7, Reader: "entry-1", Evacuations: zones}} {
		f.Add(s.Encode())
	}
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := readers.DecodeTopicStatus(body)
		if err != nil {
			return
		}
		again, err := readers.DecodeTopicStatus(s.Encode())
		s.Age += time.Microsecond
		if s.Age > time.Hour {
			return
		}
		if err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("decoded %+v, then %+v, %v", s, again, err)
		}
	})
}
